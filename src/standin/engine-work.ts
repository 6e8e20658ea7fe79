import type { StreamStage } from '../reservations/reservation-event.js'

/** One request's held work on a stand-in engine. */
export interface EngineWork {
  work: string
  owner: string
  incarnation: string
  stage: StreamStage
  pieces: number
  promptTokens: number
  computedTokens: number
  prompt: string
  handle: string
  priority: number
  /** Tokens generated so far. */
  generated: number
  maxTokens: number
  tokens: string[]
  cancelled: boolean
  evictionTimer: NodeJS.Timeout | null
  /** Imports that have pinned the result. */
  exports: number
  /** When an unpinned result is evicted. */
  evictionMs: number
  sinceMs: number
}

/** What a stand-in engine counted, for judging a run from outside the routers. */
export interface EngineRecord {
  id: string
  computedTokens: number
  wastedTokens: number
  decodes: number
  decodedTokens: number
  refusedImports: number
  evictions: number
  cancels: number
  heldPieces: number
  staleOrders: number
}
