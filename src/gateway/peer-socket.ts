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
  readonly #options: PeerSocketOptions
  readonly #socket: Socket
  readonly #port: number

  constructor (options: PeerSocketOptions) {
    this.#options = options
    this.#port = options.port
    this.#socket = createSocket('udp4')
    this.#socket.on('error', (error) => options.log.warn('peers.socket-error', { detail: error.message }))
    this.#socket.on('message', (bytes, { address }) => {
      const message = decodeDatagram(bytes)
      if (message === null) options.log.debug('peers.unreadable', { from: address, bytes: bytes.length })
      else this.#handle(address, message)
    })
    this.#socket.bind(options.port, options.ip)
  }

  /** An error in the handling of one message ends neither the process nor the messages behind it. */
  #handle (from: string, message: PeerDatagram): void {
    const { onDatagram, log } = this.#options
    try {
      onDatagram(from, message)
    } catch (error) {
      log.error('peers.fault', { from, kind: message.kind, detail: error instanceof Error ? String(error.stack) : String(error) })
    }
  }

  close (): void {
    this.#socket.close()
  }

  send (ips: string[], message: PeerDatagram): void {
    const bytes = encodeDatagram(message)
    // A failed send is ignored: datagrams may be lost anyway, and senders repeat those that matter.
    for (const ip of ips) this.#socket.send(bytes, this.#port, ip, () => {})
  }
}
