import type { ServerResponse } from 'node:http'
import type { Peers } from '../ports/peers.js'
import { MAX_FRAME_BYTES } from './frame.js'
import { PeerMessageKind } from './peer-message.js'
import { type Refusal, sendRefusal } from './refusal-response.js'
import type { ServiceAnswer } from './service-client.js'

/** Sends the only response of an attempt to its sender: a caller, or the peer that forwarded the call. */
export interface CallReply {
  answer: (answer: ServiceAnswer, replayed: boolean) => void
  refuse: (refusal: Refusal) => void
}

/** Data of a call to a plain service that the core's decisions don't need. */
export interface CallPayload {
  method: string
  url: string
  contentType: string
  body: Uint8Array
  /** Null once only the response is kept for the attempt. */
  reply: CallReply | null
  /** Response of the backend server; null before it has arrived. */
  answer: ServiceAnswer | null
}

/** Payloads of call attempts, by the id of the attempt. */
export type CallPayloads = Map<string, CallPayload>

/** Part of a frame that is reserved for fields other than the body, in bytes. */
const FRAME_MARGIN_BYTES = 64 * 1024

/** Largest body that fits in one frame between instances, in bytes. */
export const MAX_FORWARD_BYTES = MAX_FRAME_BYTES - FRAME_MARGIN_BYTES

/** Header of responses from backend servers, fresh or stored. Refusals by daisybarrow don't have it, whatever their status. */
const SOURCE_HEADER = 'daisybarrow-source'

/** Replies on the caller's HTTP connection. */
export function replyToCaller (response: ServerResponse): CallReply {
  return {
    answer: ({ status, contentType, body }, replayed) => {
      response.writeHead(status, { 'content-type': contentType, 'content-length': body.length, [SOURCE_HEADER]: replayed ? 'stored' : 'backend-server' })
      response.end(body)
    },
    refuse: (refusal) => sendRefusal(response, refusal)
  }
}

/** Replies with a message to the peer that forwarded the call. */
export function replyToPeer (peers: Peers, to: string, call: string): CallReply {
  const refuse = ({ kind, detail }: Refusal): void => peers.send(to, {
    kind: PeerMessageKind.CallAnswer, call, refusal: kind, detail, replayed: false, status: 0, contentType: '', body: new Uint8Array()
  })
  return {
    answer: ({ status, contentType, body }, replayed) => peers.send(to, { kind: PeerMessageKind.CallAnswer, call, refusal: null, detail: '', replayed, status, contentType, body }),
    refuse
  }
}
