import type { ServerResponse } from 'node:http'

/** Data of a model request that the core's decisions don't need. */
export interface Payload {
  prompt: string
  model: string
  stream: boolean
  response: ServerResponse
  /** Texts of the tokens received, by index; a new decode attempt keeps those before its `fromToken`. */
  tokens: string[]
  /** Number of tokens written to the caller's event stream. */
  delivered: number
  arrivedMs: number
  /** Time at which the first token of the answer arrived; undefined before. */
  firstTokenMs?: number
  /** Number of the newest decode connection, the only one that may append tokens; it is also increased when the request is answered or refused. */
  connection: number
}

/** Payloads of model requests in flight, by request. */
export type Payloads = Map<string, Payload>
