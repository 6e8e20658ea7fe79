import type { ResponseHead } from './http-exchange.js'
import type { GatewayRefusal } from './refusal.js'

/** What a caller says about a request to a model. */
export interface GenerationParameters {
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output, or null. */
  estimatedOutputTokens: number | null
  /** Names the caller's own part of the prompt, also when the caller returns with a new request id; null if it did not say. */
  promptId: string | null
}

/** One attempt of a caller, read whole. */
export interface CallerRequest {
  /** The caller's own id of this attempt. */
  id: string
  host: string
  method: string
  /** Path with its query, as received. */
  target: string
  path: string
  /** Names and values in turn, without those that concern one connection or that only the gateway sets. */
  headers: string[]
  body: Buffer
  /** How long the caller will wait, counted from `arrivedMs`; null if it did not say. */
  deadlineMs: number | null
  arrivedMs: number
  /** Last event that the caller has of an interrupted stream. */
  lastEventId: string | null
  /** Null for a request to a plain service. */
  work: GenerationParameters | null
}

/** Where the answer to one attempt goes. */
export interface Responder {
  /** Sends the head of a server's answer; its body follows by `write`. */
  head: (head: ResponseHead) => void
  /** Returns false when the caller reads too slowly; `onDrain` tells when to go on. */
  write: (chunk: Buffer) => boolean
  onDrain: (resume: () => void) => void
  end: () => void
  /** Closes the connection, so that an incomplete answer does not look complete. */
  abort: () => void
  /** Ends the request without a server's answer. */
  refuse: (refusal: GatewayRefusal, retryAfterMs: number | null) => void
  /** Called when the caller has left before the end of the answer. */
  onDisconnect: (left: () => void) => void
}
