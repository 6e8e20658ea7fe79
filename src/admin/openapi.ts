import * as z from 'zod'
import { operationErrorDescriptions } from '../errors/operation-error.js'
import type { AdminRoute } from './admin-route.js'

/** Statuses of calls that are refused before they reach an operation. */
const CALL_FAULT_STATUSES = [400, 401, 403, 404, 413, 500]

const errorSchema = {
  type: 'object',
  required: ['error'],
  properties: {
    error: {
      type: 'object',
      required: ['kind', 'field', 'found', 'remedy', 'rebaseOn', 'faults'],
      properties: {
        kind: { type: 'string' },
        field: { type: 'string', description: 'The field at fault' },
        found: { type: 'string' },
        remedy: { type: 'string', description: 'What to do' },
        rebaseOn: { type: ['integer', 'null'], description: 'After a conflict: the version to base the next proposal on' },
        faults: { type: 'array', description: 'Each fault of a malformed bundle', items: { type: 'object', properties: { field: { type: 'string' }, found: { type: 'string' }, remedy: { type: 'string' } } } }
      }
    }
  }
}

/** The OpenAPI document of the administration API; docs/openapi.json is a copy of it. */
export function openApiDocument (routes: AdminRoute[]): Record<string, unknown> {
  const paths: Record<string, Record<string, unknown>> = {}
  for (const route of routes) paths[route.path] = { ...paths[route.path], [route.method.toLowerCase()]: operationOf(route) }
  return {
    openapi: '3.1.0',
    info: { title: 'daisybarrow administration API', version: '1' },
    security: [{ bearer: [] }],
    components: { securitySchemes: { bearer: { type: 'http', scheme: 'bearer' } }, schemas: { Error: errorSchema } },
    paths
  }
}

function operationOf (route: AdminRoute): Record<string, unknown> {
  const names = [...route.path.matchAll(/\{(\w+)\}/g)].map((match) => match[1])
  const parameters = [
    ...names.map((name) => ({ name, in: 'path', required: true, schema: { type: 'string' } })),
    ...route.query.map((name) => ({ name, in: 'query', schema: { type: 'string' } }))
  ]
  const body = route.body === null ? {} : { requestBody: { required: true, content: { 'application/json': { schema: z.toJSONSchema(route.body, { io: 'input' }) } } } }
  return {
    summary: route.summary,
    'x-role': route.role,
    ...(route.audit === null ? {} : { 'x-audit-event': route.audit }),
    ...(parameters.length === 0 ? {} : { parameters }),
    ...body,
    responses: responses()
  }
}

function responses (): Record<string, unknown> {
  const statuses = [...CALL_FAULT_STATUSES, ...Object.values(operationErrorDescriptions).map(({ status }) => status)]
  const error = { description: 'Refused', content: { 'application/json': { schema: { $ref: '#/components/schemas/Error' } } } }
  const refusals = [...new Set(statuses)].sort((a, b) => a - b).map((status) => [String(status), error])
  return { 200: { description: 'Done', content: { 'application/json': { schema: { type: 'object' } } } }, ...Object.fromEntries(refusals) }
}
