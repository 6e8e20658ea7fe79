import * as z from 'zod'
import { StreamStage } from '../reservations/reservation-event.js'
import { RunnerRole } from '../board/backend-server.js'

/** Answers of the engine protocol. */
export const prefillAnswer = z.object({
  handle: z.string(),
  computed_tokens: z.number(),
  cached_tokens: z.number(),
  expires_in_ms: z.number()
})

export const importAnswer = z.object({ pieces: z.number() })

export const cancelAnswer = z.object({ released: z.number() })

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

export const loadAnswer = z.object({
  free_pieces: z.number(),
  total_pieces: z.number(),
  batch: z.number(),
  queued_tokens: z.number(),
  link_busy_ms: z.number(),
  leaving: z.boolean().default(false)
})

/** Answer to a reading of a runner's state and to an order. */
export const stateAnswer = z.object({
  role: z.enum(RunnerRole),
  models: z.array(z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) })),
  busy: z.boolean(),
  failed: z.boolean(),
  fence: z.number()
})
