import * as z from 'zod'
import type { Board } from '../board/board.js'
import type { Event } from '../core/event.js'
import { cacheReport } from '../placement/cache-report.js'
import { ServerActionKind } from '../placement/server-action.js'
import { ServerEventKind } from '../placement/server-event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { callJson } from './http-call.js'

/** Limit for one read, in ms. */
const CACHE_TIMEOUT_MS = 1000

const cacheEventsAnswer = z.object({
  sequence: z.number(),
  events: z.array(z.object({ seq: z.number(), piece: z.string(), added: z.boolean() }))
})

const cacheAnswer = z.object({ sequence: z.number(), pieces: z.array(z.string()) })

/** Reads the cache events and the complete cache contents of engines. A failed read is retried on a later tick. */
export function cacheActions ({ board, emit }: { board: Board, emit: (event: Event) => void }): ActionHandlers {
  const url = (server: string, path: string): string => `http://${board.servers.get(server)?.address}${path}`
  return {
    [ServerActionKind.ReadCacheEvents]: async ({ server, after }) => {
      const answer = await callJson({ url: url(server, `/v1/cache-events?after=${after}`), schema: cacheEventsAnswer, timeoutMs: CACHE_TIMEOUT_MS })
      if (answer.err) return
      const changes = answer.val.events.map(({ seq, piece, added }) => ({ sequence: seq, piece, added }))
      emit(cacheReport({ server, after, sequence: answer.val.sequence, changes }))
    },
    [ServerActionKind.ReadCache]: async ({ server }) => {
      const answer = await callJson({ url: url(server, '/v1/cache'), schema: cacheAnswer, timeoutMs: CACHE_TIMEOUT_MS })
      if (answer.ok) emit({ kind: ServerEventKind.CacheReset, server, ...answer.val })
    }
  }
}
