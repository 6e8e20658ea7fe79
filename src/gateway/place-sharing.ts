import type { Log } from '../logs/log.js'
import type { BackendTable } from './backend-table.js'
import { type CrossingPrice, DomainCrossing } from './domain-crossing.js'
import type { InstanceTable } from './instance-table.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { PlaceClient } from './place-client.js'
import { PlaceScheduler } from './place-scheduler.js'
import type { PlaceDecision } from './plain-place.js'

interface PlaceSharingOptions {
  ip: string
  failureDomain: string
  nowMs: () => number
  random: () => number
  log: Log
  backends: BackendTable
  instances: InstanceTable
  price: () => CrossingPrice
  /** Whether this instance may coordinate. */
  canCoordinate: () => boolean
  send: (ips: string[], message: PeerDatagram) => void
  /** Called when a request begins to wait. */
  onWaiting: () => void
}

/** Shares the places of plain servers between all instances: gives them out as a coordinator, and requests them from other ones. */
export class PlaceSharing {
  readonly client: PlaceClient
  readonly scheduler: PlaceScheduler
  readonly crossing: DomainCrossing
  readonly #ip: string
  readonly #send: PlaceSharingOptions['send']
  readonly #onWaiting: () => void

  constructor (options: PlaceSharingOptions) {
    const { ip, failureDomain, nowMs, random, log, backends, instances, canCoordinate, send } = options
    this.#ip = ip
    this.#send = send
    this.#onWaiting = options.onWaiting
    this.crossing = new DomainCrossing({ nowMs, price: options.price })
    this.scheduler = new PlaceScheduler({ nowMs, random, backends, crossing: this.crossing, decide: (from, id, decision) => this.#decide(from, id, decision) })
    this.client = new PlaceClient({ ip, failureDomain, nowMs, random, log, backends, instances, scheduler: this.scheduler, canCoordinate, send: (to, message) => send([to], message) })
  }

  /** Handles a message about places; returns false for any other message. */
  handleDatagram (from: string, message: PeerDatagram): boolean {
    const handler = handlers[message.kind] as ((sharing: PlaceSharing, from: string, message: PeerDatagram) => void) | undefined
    handler?.(this, from, message)
    return handler !== undefined
  }

  /** Decides also when another instance seems to coordinate: the sender's view may be the newer one, and servers queue the few requests that two coordinators place at once. */
  handleRequest (from: string, { request }: Extract<PeerDatagram, { kind: PeerDatagramKind.TakePlace }>): void {
    if (!this.scheduler.request(from, request)) return
    this.#onWaiting()
    this.#send([from], { kind: PeerDatagramKind.PlaceWaits, id: request.id })
  }

  tick (): void {
    this.scheduler.tick()
  }

  #decide (to: string, id: string, decision: PlaceDecision): void {
    if (to === this.#ip) this.client.handleDecision(to, id, decision)
    else if ('server' in decision) this.#send([to], { kind: PeerDatagramKind.PlaceTaken, id, server: decision.server })
    else this.#send([to], { kind: PeerDatagramKind.PlaceRefused, id, retryAfterMs: decision.retryAfterMs })
  }
}

type Handlers = { [K in PeerDatagramKind]?: (sharing: PlaceSharing, from: string, message: Extract<PeerDatagram, { kind: K }>) => void }

const handlers: Handlers = {
  [PeerDatagramKind.TakePlace]: (sharing, from, message) => sharing.handleRequest(from, message),
  [PeerDatagramKind.PlaceWaits]: (sharing, _from, { id }) => sharing.client.handleWaiting(id),
  [PeerDatagramKind.PlaceTaken]: (sharing, from, { id, server }) => sharing.client.handleDecision(from, id, { server }),
  [PeerDatagramKind.PlaceRefused]: (sharing, from, { id, retryAfterMs }) => sharing.client.handleDecision(from, id, { refused: true, retryAfterMs }),
  [PeerDatagramKind.ReturnPlace]: (sharing, _from, { id, use }) => sharing.scheduler.return(id, use)
}
