import * as z from 'zod'
import { StreamStage } from '../reservations/reservation-event.js'
import { RunnerRole } from '../board/backend-server.js'

/** Response of an engine to a prefill call. */
export const prefillAnswer = z.object({
  handle: z.string(),
  computed_tokens: z.number(),
  cached_tokens: z.number(),
  expires_in_ms: z.number()
})

/** Response of an engine to a call that imports KV pieces from another engine. */
export const importAnswer = z.object({ pieces: z.number() })

/** Response of an engine to a call that cancels work. */
export const cancelAnswer = z.object({ released: z.number() })

/** Response of an engine to a call that lists its streams. */
export const streamsAnswer = z.object({
  total_pieces: z.number(),
  free_pieces: z.number(),
  streams: z.array(z.object({
    request_id: z.string(),
    owner: z.string(),
    incarnation: z.string(),
    stage: z.enum(StreamStage),
    pieces: z.number()
  }))
})

/** Load report of an engine. */
export const loadAnswer = z.object({
  free_pieces: z.number(),
  total_pieces: z.number(),
  batch: z.number(),
  queued_tokens: z.number(),
  link_busy_ms: z.number(),
  leaving: z.boolean().default(false)
})

/** Response of a runner to a call that reads its state, and to an order. */
export const stateAnswer = z.object({
  role: z.enum(RunnerRole),
  models: z.array(z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) })),
  busy: z.boolean(),
  failed: z.boolean(),
  fence: z.number()
})
