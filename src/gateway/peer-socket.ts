import { createSocket, type Socket } from 'node:dgram'
import type { Log } from '../logs/log.js'
import { decodeDatagram, encodeDatagram, type PeerDatagram } from './peer-datagram.js'

interface PeerSocketOptions {
  ip: string
  port: number
  log: Log
  onDatagram: (from: string, message: PeerDatagram) => void
}

/** Exchanges datagrams with the other instances. Datagrams need no connection, so a dead instance delays no sends to others. */
export class PeerSocket {
  readonly #socket: Socket
  readonly #port: number

  constructor (options: PeerSocketOptions) {
    this.#port = options.port
    this.#socket = createSocket('udp4')
    this.#socket.on('error', (error) => options.log.warn('peers.socket-error', { detail: error.message }))
    this.#socket.on('message', (bytes, { address }) => {
      const message = decodeDatagram(bytes)
      if (message === null) options.log.debug('peers.unreadable', { from: address, bytes: bytes.length })
      else options.onDatagram(address, message)
    })
    this.#socket.bind(options.port, options.ip)
  }

  send (ips: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    // A failed send is ignored: datagrams may be lost anyway, and senders repeat those that matter.
    for (const ip of ips) this.#socket.send(bytes, this.#port, ip, () => {})
  }
}
