import { connect, createServer, type Server, type Socket } from 'node:net'
import { checkServerIdentity, connect as connectTls, createServer as createTlsServer, TLSSocket } from 'node:tls'
import type { Peers } from '../ports/peers.js'
import { encodeFrame, FrameReader } from './frame.js'
import type { PeerEnvelope, PeerMessage } from './peer-message.js'
import type { TlsFiles } from './tls-files.js'

/** Time without traffic after which a connection is closed, in ms; the next message opens a new one. */
const IDLE_TIMEOUT_MS = 30000

/** Limit for establishing a connection, including the TLS handshake, in ms. */
const CONNECT_TIMEOUT_MS = 1000

/** Limit on unsent bytes of a connection; while the peer reads too slowly and they exceed it, further messages are dropped. */
const MAX_BACKLOG_BYTES = 1024 * 1024

interface TransportOptions {
  id: string
  incarnation: string
  /** Address of a peer by its id, or undefined if it is unknown. */
  addressOf: (id: string) => string | undefined
  onMessage: (envelope: PeerEnvelope) => void
  onError?: (detail: string) => void
  /** Certificate of this instance and certificate authority of all instances; if undefined, frames are sent in plain text. */
  tls?: TlsFiles | undefined
}

/** Exchanges CBOR frames with other entry instances. On each connection only the instance that opened it sends messages. */
export class PeerTransport implements Peers {
  readonly #options: TransportOptions
  readonly #connections = new Map<string, Socket>()
  readonly #incoming = new Set<Socket>()
  readonly #server: Server
  sentBytes = 0
  sentMessages = 0

  constructor (options: TransportOptions) {
    this.#options = options
    this.#server = this.#createServer()
  }

  /** Starts listening and returns the port; port 0 selects a free one. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve())
    })
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  send (to: string, message: PeerMessage): void {
    const address = this.#options.addressOf(to)
    if (address === undefined) return
    const socket = this.#connections.get(connectionKey(to, address)) ?? this.#open(to, address)
    if (socket.writableLength > MAX_BACKLOG_BYTES) return
    const envelope: PeerEnvelope = { from: this.#options.id, incarnation: this.#options.incarnation, message }
    const frame = encodeFrame(envelope)
    this.sentBytes += frame.length
    this.sentMessages += 1
    socket.write(frame)
  }

  close (): void {
    this.#server.close()
    for (const socket of [...this.#connections.values(), ...this.#incoming]) socket.destroy()
  }

  #createServer (): Server {
    const { tls } = this.#options
    if (tls === undefined) return createServer((socket) => this.#accept(socket))
    const server = createTlsServer({ ...tls.context, requestCert: true, rejectUnauthorized: true }, (socket) => this.#accept(socket))
    server.on('tlsClientError', (error) => this.#options.onError?.(error.message))
    tls.subscribe((context) => server.setSecureContext(context))
    return server
  }

  #connect (to: string, address: string): Socket {
    const { tls } = this.#options
    const colon = address.lastIndexOf(':')
    const target = { host: address.slice(0, colon), port: Number(address.slice(colon + 1)), noDelay: true }
    if (tls === undefined) return connect(target)
    // The certificate must name the peer's id or its IP address.
    const socket = connectTls({
      ...target,
      ...tls.context,
      checkServerIdentity: (host, certificate) => checkServerIdentity(to, certificate) && checkServerIdentity(host, certificate)
    })
    socket.setNoDelay(true)
    return socket
  }

  #open (to: string, address: string): Socket {
    const socket = this.#connect(to, address)
    const key = connectionKey(to, address)
    this.#connections.set(key, socket)
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
    socket.once(this.#options.tls === undefined ? 'connect' : 'secureConnect', () => clearTimeout(connectTimer))
    socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy())
    socket.on('error', (error) => this.#options.onError?.(error.message))
    socket.on('close', () => {
      clearTimeout(connectTimer)
      if (this.#connections.get(key) === socket) this.#connections.delete(key)
    })
    return socket
  }

  #accept (socket: Socket): void {
    const reader = new FrameReader()
    this.#incoming.add(socket)
    socket.on('error', (error) => this.#options.onError?.(error.message))
    socket.on('close', () => this.#incoming.delete(socket))
    socket.on('data', (chunk) => this.#receive(socket, reader, chunk))
  }

  #receive (socket: Socket, reader: FrameReader, chunk: Buffer): void {
    try {
      for (const value of reader.push(chunk)) {
        const envelope = value as PeerEnvelope
        checkSender(socket, envelope.from)
        this.#options.onMessage(envelope)
      }
    } catch (error) {
      this.#options.onError?.(error instanceof Error ? error.message : String(error))
      socket.destroy()
    }
  }
}

/** Sender ids for which the certificate of a connection has been checked. */
const checkedSenders = new WeakMap<Socket, Set<string>>()

/** Throws if the connection uses TLS and its certificate names neither the sender's id nor the address that the connection comes from. */
function checkSender (socket: Socket, from: string): void {
  if (!(socket instanceof TLSSocket)) return
  const checked = checkedSenders.get(socket) ?? new Set()
  if (checked.has(from)) return
  const certificate = socket.getPeerCertificate()
  const error = checkServerIdentity(from, certificate) && checkServerIdentity(socket.remoteAddress ?? '', certificate)
  if (error !== undefined) throw error
  checked.add(from)
  checkedSenders.set(socket, checked)
}

/** Key of a connection that this instance opened. It contains the peer's id besides the address, because an address can pass to another instance and a connection's certificate was checked for one id only. */
function connectionKey (to: string, address: string): string {
  return `${to} ${address}`
}
