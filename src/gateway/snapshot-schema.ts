import * as z from 'zod'
import { isServerAddress, RunnerRole, ServerState } from './backend.js'
import { QuotaUnit, RouteKind } from './configuration.js'

/** Time that a runner needs to change its role if an instance of an older version does not state it, in milliseconds. */
const DEFAULT_ROLE_CHANGE_MS = 6000

/** A server's id is sent to it in a header, which takes no other characters. */
const idSchema = z.string().regex(/^[\x21-\x7e]{1,200}$/)

const backendSchema = z.object({
  id: idSchema,
  service: z.string(),
  address: z.string().refine(isServerAddress, 'an address is an IPv4 address and a port'),
  failureDomain: z.string(),
  state: z.enum(ServerState),
  stage: z.enum(RunnerRole),
  slots: z.int().positive(),
  startedAtMs: z.number()
})

const missingSchema = z.object({ id: idSchema, ageMs: z.number() })

const departedSchema = z.object({ id: idSchema, startedAtMs: z.number(), leaving: z.boolean(), ageMs: z.number() })

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(RouteKind),
  timeoutMs: z.number(),
  targetLatencyMs: z.number(),
  longestPauseMs: z.number().default(0),
  services: z.array(z.object({ service: z.string(), weight: z.number() })),
  attempts: z.number(),
  priority: z.number(),
  resumable: z.boolean(),
  anonymous: z.boolean()
})

const organisationSchema = z.object({
  name: z.string(),
  keyHashes: z.array(z.string()),
  priority: z.number().nullable(),
  quota: z.object({ unit: z.enum(QuotaUnit), perS: z.number().nonnegative(), burst: z.number().nonnegative(), plainTokens: z.number().nonnegative() }).nullable()
})

const engineSchema = z.object({
  slots: z.number(),
  memoryTokens: z.number(),
  tokensPerEvent: z.number().default(1),
  roleChangeMs: z.number().nonnegative().default(DEFAULT_ROLE_CHANGE_MS)
})

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(z.object({ name: z.string(), maxConnections: z.number(), engine: engineSchema.nullable() })),
  limits: z.object({ headerBytes: z.number(), bodyBytes: z.number(), headerTimeoutMs: z.number(), idleTimeoutMs: z.number() }),
  organisations: z.array(organisationSchema),
  requiresKeys: z.boolean()
})

/** Peers of older versions send configurations without organisations, by which requests without a key would be served. */
function isWithoutOrganisations (configuration: unknown): boolean {
  return typeof configuration === 'object' && configuration !== null && !('requiresKeys' in configuration)
}

/** A snapshot of a peer as it is decoded. Peers of older and newer versions may lack fields or have more; an odd server names none to use, and the others hold. */
export const snapshotSchema = z.object({
  era: z.int().nonnegative().optional(),
  revision: z.int().nonnegative(),
  configuration: z.preprocess((value) => isWithoutOrganisations(value) ? null : value, configurationSchema.nullable()),
  backends: listOf(backendSchema),
  missing: listOf(missingSchema).default([]),
  departed: listOf(departedSchema).default([])
})

/** A list without the elements that the schema does not accept. */
function listOf<S extends z.ZodType> (schema: S): z.ZodType<Array<z.infer<S>>, unknown> {
  return z.array(z.unknown()).transform((elements) => elements.flatMap((element) => {
    const { success, data } = schema.safeParse(element)
    return success ? [data] : []
  }))
}
