import * as z from 'zod'
import { adminSettingsSchema } from './admin-settings.js'
import { entrySettingsSchema } from './entry-settings.js'

interface JsonSchema {
  type?: string
  enum?: string[]
  anyOf?: JsonSchema[]
  properties?: Record<string, JsonSchema>
  required?: string[]
  items?: JsonSchema
  description?: string
  default?: unknown
}

const programs = {
  'daisybarrow-entry': entrySettingsSchema,
  'daisybarrow-admin': adminSettingsSchema
}

/** Returns a Markdown page that lists the settings of each program. */
export function settingsReference (): string {
  const sections = Object.entries(programs).map(([program, schema]) => {
    const rows = rowsOf('', z.toJSONSchema(schema, { io: 'input' }) as JsonSchema)
    return [`## ${program}`, '', '| setting | form | default | meaning |', '|---|---|---|---|', ...rows, ''].join('\n')
  })
  return ['# Settings', '', 'Written from the schemas by `scripts/write-settings.mjs`. Unknown settings are errors.', '', ...sections].join('\n')
}

function rowsOf (prefix: string, schema: JsonSchema): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, propertySchema]) => {
    const path = `${prefix}${name}`
    const required = schema.required?.includes(name) === true
    const nested = propertySchema.properties === undefined ? rowsOf(`${path}[].`, propertySchema.items ?? {}) : rowsOf(`${path}.`, propertySchema)
    return [row(path, propertySchema, required), ...nested]
  })
}

function row (path: string, schema: JsonSchema, required: boolean): string {
  const form = schema.enum?.join(', ') ?? schema.type ?? [...new Set(schema.anyOf?.map((item) => item.type ?? ''))].join(' or ') ?? ''
  const defaultText = schema.default === undefined ? (required ? 'required' : '') : `\`${JSON.stringify(schema.default)}\``
  return `| \`${path}\` | ${form} | ${defaultText} | ${schema.description ?? ''} |`
}
