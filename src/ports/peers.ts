import type { PeerMessage } from '../adapters/peer-message.js'

/** Sends messages to other entry instances. Delivery is not guaranteed. */
export interface Peers {
  send: (to: string, message: PeerMessage) => void
}
