import { ServerKind } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Event } from '../core/event.js'
import { ServerEventKind } from '../placement/server-event.js'
import { loadAnswer } from './engine-schemas.js'
import { callJson } from './http-call.js'

/** Limit for reading one load report, in ms. */
const LOAD_TIMEOUT_MS = 1000

/** Reads the load reports of all model runners in the instance's region. */
export async function readLoads (board: Board, emit: (event: Event) => void): Promise<void> {
  const runners = [...board.servers.values()].filter((server) => server.kind === ServerKind.Model && server.region === board.self.region)
  await Promise.all(runners.map(async ({ id, address }) => {
    const answer = await callJson({ url: `http://${address}/v1/load`, schema: loadAnswer, timeoutMs: LOAD_TIMEOUT_MS })
    if (answer.err) {
      emit({ kind: ServerEventKind.LoadUnreadable, server: id })
      return
    }
    const load = {
      freePieces: answer.val.free_pieces,
      totalPieces: answer.val.total_pieces,
      batch: answer.val.batch,
      queuedTokens: answer.val.queued_tokens,
      linkBusyMs: answer.val.link_busy_ms,
      reportedMs: Date.now(),
      leaving: answer.val.leaving
    }
    emit({ kind: ServerEventKind.LoadReported, server: id, load })
  }))
}
