import type { BackendServer } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Controller } from '../core/controller.js'
import { RequestEventKind } from '../requests/request-event.js'
import { ServerEventKind } from './server-event.js'

/** Work assigned to a runner that its last load report may not include yet. */
interface Assignment {
  atMs: number
  /** Prompt tokens to prefill; 0 on the decode runner. */
  tokens: number
  /** KV cache pieces that the decode occupies; 0 on the prefill runner. */
  pieces: number
}

/** This instance's corrections of one runner's load reports. */
interface Correction {
  assignments: Map<string, Assignment>
  /** Free pieces in the coordinator's last answer and when it was received; null before the first answer. */
  answered: { pieces: number, atMs: number } | null
}

/** Corrections for work that the load reports do not include yet, since the reports lag. */
export interface LoadCorrections {
  byServer: Map<string, Correction>
  /** Runners to which the current attempt of each request was assigned, by request id. */
  byRequest: Map<string, { prefill: string, decode: string }>
}

export function createLoadCorrections (): LoadCorrections {
  return { byServer: new Map(), byRequest: new Map() }
}

/** Records that a request was assigned to a pair of runners, in place of its previous assignment. */
export function recordAssignment (board: Board, options: { request: string, prefill: string, decode: string, tokens: number, pieces: number, nowMs: number }): void {
  const { request, prefill, decode, tokens, pieces, nowMs } = options
  removeAssignments(board, request)
  board.corrections.byRequest.set(request, { prefill, decode })
  correctionOf(board, prefill).assignments.set(request, { atMs: nowMs, tokens, pieces: 0 })
  correctionOf(board, decode).assignments.set(request, { atMs: nowMs, tokens: 0, pieces })
}

/** Prompt tokens queued on a runner: those in its last load report and those that this instance assigned since. */
export function queuedTokens (board: Board, server: BackendServer): number {
  return (server.load?.queuedTokens ?? 0) + sumAssigned(board, server.id, 'tokens')
}

/**
 * Free pieces of a decode runner by its load report or its coordinator's answer, whichever is newer, less those that
 * this instance assigned since; may be negative.
 */
export function correctedFreePieces (board: Board, server: BackendServer): number {
  const answered = board.corrections.byServer.get(server.id)?.answered
  const answerIsNewer = answered !== undefined && answered !== null && answered.atMs >= (server.load?.reportedMs ?? -Infinity)
  const reportedFreePieces = answerIsNewer ? answered.pieces : server.load?.freePieces ?? 0
  return reportedFreePieces - sumAssigned(board, server.id, 'pieces')
}

/** Updates the corrections on load reports, coordinators' answers, finished prefills and ended requests. */
export const loadCorrectionController: Controller = {
  name: 'corrections',
  handlers: {
    [ServerEventKind.LoadReported]: (board, { server, load }) => {
      const correction = board.corrections.byServer.get(server)
      for (const [request, { atMs }] of correction?.assignments ?? []) {
        if (atMs <= load.reportedMs) correction?.assignments.delete(request)
      }
      return []
    },
    [RequestEventKind.ReservationAnswered]: (board, { request, server, granted, freePieces }, { nowMs }) => {
      correctionOf(board, server).answered = { pieces: Math.max(0, freePieces), atMs: nowMs }
      // The coordinator's free pieces already exclude the granted reservation.
      if (granted) correctionOf(board, server).assignments.delete(request)
      else removeAssignments(board, request)
      return []
    },
    [RequestEventKind.PrefillFinished]: (board, { request }) => {
      const pair = board.corrections.byRequest.get(request)
      if (pair !== undefined) board.corrections.byServer.get(pair.prefill)?.assignments.delete(request)
      return []
    },
    [RequestEventKind.RequestEnded]: (board, { request }) => {
      removeAssignments(board, request)
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
  let correction = byServer.get(server)
  if (correction === undefined) {
    correction = { assignments: new Map(), answered: null }
    byServer.set(server, correction)
  }
  return correction
}

function removeAssignments ({ corrections }: Board, request: string): void {
  const pair = corrections.byRequest.get(request)
  if (pair === undefined) return
  corrections.byRequest.delete(request)
  corrections.byServer.get(pair.prefill)?.assignments.delete(request)
  corrections.byServer.get(pair.decode)?.assignments.delete(request)
}

function sumAssigned ({ corrections }: Board, server: string, field: 'pieces' | 'tokens'): number {
  let sum = 0
  for (const assignment of corrections.byServer.get(server)?.assignments.values() ?? []) sum += assignment[field]
  return sum
}
