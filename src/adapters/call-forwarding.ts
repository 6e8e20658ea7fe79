import type { Board } from '../board/board.js'
import { CallActionKind } from '../calls/call-action.js'
import { CallEventKind } from '../calls/call-event.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import type { Peers } from '../ports/peers.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { type CallPayloads, replyToPeer } from './call-payload.js'
import type { MessageHandlers } from './peer-events.js'
import { PeerMessageKind } from './peer-message.js'

interface ForwardingOptions {
  board: Board
  calls: CallPayloads
  peers: Peers
  emit: (event: Event) => void
}

/** Action handlers that forward a call to the instance that may dispatch calls with its key. */
export function forwardActions ({ board, calls, peers }: ForwardingOptions): ActionHandlers {
  return {
    [CallActionKind.ForwardCall]: ({ call, instance, incarnation }) => {
      const payload = calls.get(call)
      const attempt = board.calls.get(call)
      if (payload === undefined || attempt === undefined) return
      const { method, url: path, contentType, body } = payload
      const { organisation, route, key, bodyHash } = attempt
      peers.send(instance, { kind: PeerMessageKind.CallForward, call, incarnationWanted: incarnation, organisation, route, method, path, contentType, key, bodyHash, body })
    }
  }
}

/** Message handlers for calls that other instances forward here, and for responses to calls that were forwarded to them. */
export function forwardEvents ({ board, calls, peers, emit }: ForwardingOptions): MessageHandlers {
  return {
    [PeerMessageKind.CallForward]: ({ call, incarnationWanted, organisation, route, method, path, contentType, key, bodyHash, body }, from) => {
      const reply = replyToPeer(peers, from, call)
      if (incarnationWanted !== board.self.incarnation) {
        reply.refuse({ kind: RefusalKind.OutcomeUnknown, detail: `instance ${board.self.id} was restarted since it issued the key` })
        return
      }
      calls.set(call, { method, url: path, contentType, body, reply, answer: null })
      emit({ kind: CallEventKind.CallArrived, call, organisation, route, key, bodyHash, forwardedBy: from })
    },
    [PeerMessageKind.CallAnswer]: ({ call, refusal, detail, replayed, status, contentType, body }, from) => {
      const payload = calls.get(call)
      if (payload === undefined || board.calls.get(call)?.holder?.instance !== from) return
      if (refusal === null) payload.answer = { status, contentType, body }
      emit({ kind: CallEventKind.ForwardedCallAnswered, call, answered: refusal === null, refusal, detail, replayed })
    }
  }
}
