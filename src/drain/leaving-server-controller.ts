import { ServerState } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Action } from '../core/action.js'
import type { Context } from '../core/context.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { ServerEventKind } from '../placement/server-event.js'
import { moveUnstartedRequests } from '../requests/request-placement.js'

/** Stops sending new work to backend servers that are leaving according to the instance list or to the servers themselves. */
export const leavingServerController: Controller = {
  name: 'leaving-servers',
  handlers: {
    [ServerEventKind.InstanceListRead]: (board, _event, context) => {
      for (const id of board.leavingServers.keys()) {
        const server = board.servers.get(id)
        if (server === undefined) board.leavingServers.delete(id)
        // The instance list lags behind the server's own report.
        else server.state = ServerState.Leaving
      }
      return moveUnstartedRequests(board, context)
    },
    [ServerEventKind.LoadReported]: (board, { server, load }, context) => {
      if (load.leaving === true) return markLeaving(board, server, context)
      // The refusal that marked the server as leaving may be older than this report. A list that shows the server live does not remove the mark, since it lags behind.
      if (load.leaving === false) board.leavingServers.delete(server)
      return []
    },
    [ServerEventKind.ServerLeaving]: (board, { server }, context) => markLeaving(board, server, context)
  }
}

function markLeaving (board: Board, id: string, context: Context): Action[] {
  const server = board.servers.get(id)
  if (server === undefined || board.leavingServers.has(id)) return []
  board.leavingServers.set(id, context.nowMs)
  server.state = ServerState.Leaving
  return [{ kind: CoreActionKind.Log, name: 'server_leaving', fields: { server: id } }, ...moveUnstartedRequests(board, context)]
}
