import type { BackendServer } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Controller } from '../core/controller.js'
import { RequestEventKind } from '../requests/request-event.js'
import { ServerEventKind } from './server-event.js'

/** Work given to a runner that its last report may not show yet. */
interface Assignment {
  atMs: number
  tokens: number
  pieces: number
}

/** This instance's corrections of one runner's reports. */
interface Correction {
  assignments: Map<string, Assignment>
  /** Free pieces by the keeper's last answer. */
  answered: { pieces: number, atMs: number } | null
}

/** Corrections of lagging load reports. */
export interface LoadCorrections {
  byServer: Map<string, Correction>
  /** Runners that a request's present attempt was given to. */
  byRequest: Map<string, { prefill: string, decode: string }>
}

export function createLoadCorrections (): LoadCorrections {
  return { byServer: new Map(), byRequest: new Map() }
}

/** Records that a request was given to a pair of runners. */
export function recordAssignment (board: Board, options: { request: string, prefill: string, decode: string, tokens: number, pieces: number, nowMs: number }): void {
  const { request, prefill, decode, tokens, pieces, nowMs } = options
  forgetRequest(board, request)
  board.corrections.byRequest.set(request, { prefill, decode })
  correctionOf(board, prefill).assignments.set(request, { atMs: nowMs, tokens, pieces: 0 })
  correctionOf(board, decode).assignments.set(request, { atMs: nowMs, tokens: 0, pieces })
}

/** Prompt tokens queued on a runner: those it reported and those given to it since. */
export function queuedTokens (board: Board, server: BackendServer): number {
  return (server.load?.queuedTokens ?? 0) + sumSince(board, server.id, 'tokens')
}

/** Free pieces of a decode runner by the newest of its report and its keeper's answer, less what was given to it since. */
export function correctedFreePieces (board: Board, server: BackendServer): number {
  const answered = board.corrections.byServer.get(server.id)?.answered
  const useAnswer = answered !== undefined && answered !== null && answered.atMs >= (server.load?.reportedMs ?? -Infinity)
  const reported = useAnswer ? answered.pieces : server.load?.freePieces ?? 0
  return reported - sumSince(board, server.id, 'pieces')
}

/** Keeps the corrections in step with reports, keepers' answers and the ends of requests. */
export const loadCorrectionController: Controller = {
  name: 'corrections',
  handlers: {
    [ServerEventKind.LoadReported]: (board, { server, load }) => {
      const known = board.corrections.byServer.get(server)
      for (const [request, { atMs }] of known?.assignments ?? []) {
        if (atMs <= load.reportedMs) known?.assignments.delete(request)
      }
      return []
    },
    [RequestEventKind.ReservationAnswered]: (board, { request, server, granted, freePieces }, { nowMs }) => {
      correctionOf(board, server).answered = { pieces: Math.max(0, freePieces), atMs: nowMs }
      // The keeper's figure counts a granted place as taken.
      if (granted) correctionOf(board, server).assignments.delete(request)
      else forgetRequest(board, request)
      return []
    },
    [RequestEventKind.PrefillFinished]: (board, { request }) => {
      const pair = board.corrections.byRequest.get(request)
      if (pair !== undefined) board.corrections.byServer.get(pair.prefill)?.assignments.delete(request)
      return []
    },
    [RequestEventKind.RequestEnded]: (board, { request }) => {
      forgetRequest(board, request)
      return []
    },
    [ServerEventKind.InstanceListRead]: (board) => {
      for (const server of board.corrections.byServer.keys()) {
        if (!board.servers.has(server)) board.corrections.byServer.delete(server)
      }
      return []
    }
  }
}

function correctionOf (board: Board, server: string): Correction {
  const { byServer } = board.corrections
  let found = byServer.get(server)
  if (found === undefined) {
    found = { assignments: new Map(), answered: null }
    byServer.set(server, found)
  }
  return found
}

function forgetRequest ({ corrections }: Board, request: string): void {
  const pair = corrections.byRequest.get(request)
  if (pair === undefined) return
  corrections.byRequest.delete(request)
  corrections.byServer.get(pair.prefill)?.assignments.delete(request)
  corrections.byServer.get(pair.decode)?.assignments.delete(request)
}

function sumSince ({ corrections }: Board, server: string, field: 'pieces' | 'tokens'): number {
  let sum = 0
  for (const assignment of corrections.byServer.get(server)?.assignments.values() ?? []) sum += assignment[field]
  return sum
}
