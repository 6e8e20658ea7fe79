/** Stages of a model request. */
export enum RequestStage {
  Queued = 'queued',
  Placing = 'placing',
  Reserving = 'reserving',
  Reserved = 'reserved',
  Prefilling = 'prefilling',
  Transferring = 'transferring',
  Decoding = 'decoding',
  Waiting = 'waiting'
}

/** A model request in flight, held by the instance that has the caller's connection. */
export interface ModelRequest {
  id: string
  organisation: string
  model: string
  class: string
  promptTokens: number
  /** Chained hashes of the prompt's complete pieces, in order. */
  pieces: string[]
  maxTokens: number
  arrivedMs: number
  deadlineMs: number
  stage: RequestStage
  /** Number of the current placement. Each has its own id on the engines, so that late answers of earlier ones are recognised. */
  attempt: number
  prefillServer: string | null
  decodeServer: string | null
  /** The instance that coordinates the decode runner's reservations; null while none is requested or held. */
  keeper: string | null
  reserved: boolean
  /** Id of the prefill result on the prefill runner, by which the decode runner imports it; null while there is none. */
  handle: string | null
  handleExpiresMs: number
  /** Time at which the reservation allows the transfer to start. */
  transferMs: number
  /** Answer tokens received so far. */
  tokens: number
  firstTokenMs: number | null
  /** Servers that failed this request. */
  excluded: string[]
  /** Whether the caller gets tokens as they are generated. */
  stream: boolean
  /** Attempt whose prefill made `handle`: a retried transfer is a later attempt with the same prefill. */
  prefillAttempt: number
  /** Address of the prefill runner, kept for the transfer even if the runner is removed from the instance list. */
  prefillAddress: string
  /** Whether the prefill runner's assigned tokens include this prompt. */
  assigned: boolean
  /** Whether an engine may have worked on the request: a refusal must not say then that the request was not run. */
  ran: boolean
  /** Number of stages that failed. */
  failures: number
  /** Number of placements turned down: by a denied or unanswered reservation, or by a prefill runner that takes no new work. */
  denials: number
  /** Placements in a row that found no pair of runners. */
  unplaced: number
  /** Decode connections reopened since the last new token. */
  resumes: number
  /** Description of the last failure, for the detail of a refusal. */
  lastFault: string
}

/** The id under which an engine knows one attempt of a request. */
export function workId (request: { id: string, attempt: number }): string {
  return `${request.id}.${request.attempt}`
}

/** The id under which the prefill runner knows the request's prefill. */
export function prefillWorkId (request: { id: string, prefillAttempt: number }): string {
  return `${request.id}.${request.prefillAttempt}`
}
