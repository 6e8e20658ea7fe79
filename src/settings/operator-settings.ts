import * as z from 'zod'
import { trustedKeysSchema } from './entry-settings.js'

/** Settings that the command line and the administration API share. */
export const operatorFields = {
  keyValueUrl: z.url().describe('Base URL of the key-value service'),
  trustedKeys: trustedKeysSchema,
  operators: z.array(z.string().regex(/^[^\s/]+:\d+$/)).default([]).describe('Operator listeners of the entry instances, HOST:PORT'),
  instanceListUrl: z.url().optional().describe('URL of the instance list; entry instances with the label operator_address are added to operators')
}

/** Settings of `daisybarrow`. */
export const operatorSettingsSchema = z.strictObject(operatorFields)

export type OperatorSettings = z.infer<typeof operatorSettingsSchema>
