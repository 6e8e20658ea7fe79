import type { BackendServer } from '../board/backend-server.js'
import type { Board } from '../board/board.js'
import type { Controller } from '../core/controller.js'
import { CoreActionKind } from '../core/core-action.js'
import { type ListedServer, ServerEventKind } from './server-event.js'

/** Updates the table of backend servers from the instance list and the load reports. */
export const serverController: Controller = {
  name: 'servers',
  handlers: {
    [ServerEventKind.InstanceListRead]: (board, { servers }) => {
      // An empty list is ignored: the platform's list has outages, while a whole fleet does not disappear at once.
      if (servers.length === 0) return []
      const listed = new Set(servers.map((server) => server.id))
      for (const server of servers) updateServer(board, server)
      for (const id of board.servers.keys()) {
        if (!listed.has(id)) board.servers.delete(id)
      }
      return []
    },
    [ServerEventKind.InstanceListUnreadable]: (_board, { detail }) => [
      { kind: CoreActionKind.Log, name: 'instance_list_unreadable', fields: { detail } }
    ],
    [ServerEventKind.LoadReported]: (board, { server, load }) => {
      const existing = board.servers.get(server)
      if (existing !== undefined) existing.load = load
      return []
    }
  }
}

function updateServer (board: Board, listed: ListedServer): void {
  const existing = board.servers.get(listed.id)
  if (existing !== undefined) {
    Object.assign(existing, listed)
    return
  }
  const server: BackendServer = {
    ...listed,
    load: null,
    breaker: { failures: 0, openUntilMs: 0, trial: false },
    inFlight: 0,
    assignedTokens: 0
  }
  board.servers.set(listed.id, server)
}
