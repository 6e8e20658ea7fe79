import * as z from 'zod'

export const engineOptionsSchema = z.strictObject({
  id: z.string(),
  host: z.string().default('127.0.0.1'),
  port: z.int(),
  model: z.string(),
  role: z.enum(['prefill', 'decode', 'none']),
  totalPieces: z.int().positive().default(120),
  pieceTokens: z.int().positive().default(1000),
  bytesPerToken: z.number().positive().default(4),
  kvBytesPerToken: z.number().positive().default(131072),
  prefillTokensPerSecond: z.number().positive().default(20000),
  tokenMs: z.number().positive().default(20),
  evictionMs: z.number().positive().default(800),
  linkBytesPerSecond: z.number().positive().default(12.5e9),
  cachePieces: z.int().nonnegative().default(200),
  reportLagMs: z.number().nonnegative().default(300),
  checksFence: z.boolean().default(true),
  loadModelMs: z.number().nonnegative().default(500),
  /** Loads of these versions fail. */
  failingVersions: z.array(z.string()).default([]),
  /** Address of the weight store that loads go through. */
  weightStore: z.string().optional()
})

/** Settings of one stand-in for a model engine. */
export type EngineOptions = z.infer<typeof engineOptionsSchema>
