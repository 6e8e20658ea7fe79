import type { ResponseHead } from './http-exchange.js'
import type { GatewayRefusal } from './refusal.js'

/** Token counts of a request to a model, as the caller states them. */
export interface GenerationParameters {
  promptTokens: number
  maxOutputTokens: number
  /** The caller's estimate of the output length; null if it gave none. */
  estimatedOutputTokens: number | null
  /** Id of the last part of the prompt, which stays the same when the caller retries with a new request id; null if the caller gave none. */
  promptId: string | null
}

/** One request of a caller, with its complete body. A retry by the caller is a new request with a new id. */
export interface CallerRequest {
  /** Id that the caller chose; empty if it gave none. */
  id: string
  host: string
  method: string
  /** Path with its query, as received. */
  target: string
  path: string
  /** Alternating names and values, without hop-by-hop headers and headers that only the gateway sets. */
  headers: string[]
  body: Buffer
  /** Time that the caller waits, in milliseconds from `arrivedMs`; null if it gave none. */
  deadlineMs: number | null
  arrivedMs: number
  /** Id of the last event that the caller received of an interrupted stream; null if it does not resume one. */
  lastEventId: string | null
  /** Null for a request to a plain service. */
  generationParameters: GenerationParameters | null
}

/** Sends the response to one request of a caller. */
export interface Responder {
  /** Sends the head of a server's response; `write` sends the body. */
  head: (head: ResponseHead) => void
  /** Returns false when the caller reads too slowly; the writer should then wait for `onDrain`. */
  write: (chunk: Buffer) => boolean
  onDrain: (resume: () => void) => void
  end: () => void
  /** Closes the connection, so that an incomplete response does not look complete. */
  abort: () => void
  /** Sends a refusal of the gateway itself instead of a server's response. */
  refuse: (refusal: GatewayRefusal, retryAfterMs: number | null) => void
  /** Registers a callback for the caller's disconnect before the end of the response. */
  onDisconnect: (callback: () => void) => void
}
