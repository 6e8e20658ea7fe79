import * as z from 'zod'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/)

const model = z.strictObject({
  name,
  service: name,
  version: z.string().min(1).default('1'),
  adapters: z.array(name).default([]),
  /** Tokens in a piece, the unit in which engines allocate and cache KV memory. */
  pieceTokens: z.int().positive().default(1000),
  bytesPerToken: z.number().positive().default(4),
  kvBytesPerToken: z.int().positive().default(131072),
  maxPromptTokens: z.int().positive().default(65536),
  maxOutputTokens: z.int().positive().default(1024),
  /** Time after which an engine evicts a prefill result that was not transferred. */
  evictionMs: z.int().positive().default(800),
  prefillTokensPerSecond: z.number().positive().default(20000),
  linkBytesPerSecond: z.number().positive().default(12.5e9),
  prefillRunners: z.int().nonnegative().default(3),
  decodeRunners: z.int().nonnegative().default(3),
  /** Runners of each role that orders keep in service while they change others; all wanted ones if fewer are wanted. */
  minimumRunners: z.int().nonnegative().default(1)
})

const route = z.strictObject({
  name,
  path: z.string().startsWith('/'),
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  service: name,
  repeatable: z.boolean(),
  timeoutMs: z.int().positive().default(5000)
})

const requestClass = z.strictObject({
  name,
  firstTokenMs: z.int().positive(),
  perTokenMs: z.int().positive(),
  deadlineMs: z.int().positive(),
  interactive: z.boolean(),
  priority: z.int().min(0).max(9).default(5)
})

const organisation = z.strictObject({
  id: name,
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  class: name,
  requestsPerSecond: z.number().positive().default(1000),
  concurrency: z.int().positive().default(1000),
  /** Weight in the fair queueing of requests that wait for admission. */
  share: z.number().positive().default(1)
})

/** Relative weights of avoiding wasted prefill work and of goodput: the higher the weight of goodput, the more risk of waste is accepted. */
const weights = z.strictObject({
  wastedPrefill: z.number().nonnegative().default(1),
  goodput: z.number().nonnegative().default(1)
})

/** The content of a configuration bundle. */
export const bundleSchema = z.strictObject({
  models: z.array(model),
  routes: z.array(route).default([]),
  classes: z.array(requestClass).min(1),
  organisations: z.array(organisation),
  weights: weights.default({ wastedPrefill: 1, goodput: 1 })
})

export type Bundle = z.infer<typeof bundleSchema>
export type Model = z.infer<typeof model>
export type Route = z.infer<typeof route>
export type RequestClass = z.infer<typeof requestClass>
export type Organisation = z.infer<typeof organisation>
