import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import type { BackendTable } from './backend-table.js'
import type { InstanceTable } from './instance-table.js'
import { LimitClient } from './limit-client.js'
import { LimitKeeper } from './limit-keeper.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { RunnerPermits } from './placement-scheduler.js'
import { ReportExchange } from './report-exchange.js'
import { type LimitReport, ServerLimits } from './server-limits.js'

/** Number of limits in one message, so that it fits one packet. */
const LIMITS_PER_MESSAGE = 12

interface LimitSharingOptions {
  ip: string
  nowMs: () => number
  log: Log
  backends: BackendTable
  instances: InstanceTable
  /** Whether this instance may keep limits. */
  canCoordinate: () => boolean
  send: (ips: string[], message: PeerDatagram) => void
}

/** Shares the limits of servers between all instances: tells what servers name, and gives out and requests permits. */
export class LimitSharing {
  readonly limits: ServerLimits
  readonly client: LimitClient
  /** Permits for the placements that this instance decides as the coordinator of a service. */
  readonly permits: LimitKeeper
  /** Permits for placements without the coordinator: none for runners with limits, since the coordinator gives theirs out. */
  readonly noPermits: RunnerPermits
  readonly #backends: BackendTable
  readonly #exchange: ReportExchange<LimitReport>

  constructor (options: LimitSharingOptions) {
    const { ip, nowMs, log, instances, canCoordinate, send } = options
    this.#backends = options.backends
    this.limits = new ServerLimits({ nowMs, log, onChange: () => this.#exchange.markChanged() })
    this.#exchange = new ReportExchange({
      reports: () => this.limits.reports(),
      perMessage: LIMITS_PER_MESSAGE,
      message: (limits) => ({ kind: PeerDatagramKind.Limits, limits }),
      send
    })
    this.permits = new LimitKeeper({ nowMs, limits: this.limits, fleetShare: () => instances.servingCount() / instances.knownCount() })
    this.client = new LimitClient({ ip, nowMs, limits: this.limits, keeper: this.permits, instances, canCoordinate, send: (to, message) => send([to], message) })
    const isUnlimited = (backend: BackendServer): boolean => this.limits.limitOf(backend) === null
    this.noPermits = {
      isAvailable: isUnlimited,
      tryTake: isUnlimited,
      waitMs: (backend) => this.permits.waitMs(backend),
      ratePerS: (backend) => isUnlimited(backend) ? Infinity : 0
    }
  }

  sendChanges (ips: string[]): void {
    this.#exchange.sendChanges(ips)
  }

  sendReminder (ips: string[]): void {
    this.#exchange.sendReminder(ips)
  }

  /** Handles a message about limits; returns false for any other message. */
  handleDatagram (from: string, message: PeerDatagram): boolean {
    const handler = handlers[message.kind] as ((sharing: LimitSharing, from: string, message: PeerDatagram) => void) | undefined
    handler?.(this, from, message)
    return handler !== undefined
  }

  answer (from: string, { id, server, report }: Extract<PeerDatagram, { kind: PeerDatagramKind.Admit }>): void {
    this.limits.merge(from, [report])
    this.client.answer(from, id, this.#backends.get(server))
  }

  /** Forgets all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    for (const table of [this.limits, this.permits, this.client]) table.retain(incarnations)
  }
}

type Handlers = { [K in PeerDatagramKind]?: (sharing: LimitSharing, from: string, message: Extract<PeerDatagram, { kind: K }>) => void }

const handlers: Handlers = {
  [PeerDatagramKind.Limits]: (sharing, from, { limits }) => sharing.limits.merge(from, limits),
  [PeerDatagramKind.Admit]: (sharing, from, message) => sharing.answer(from, message),
  [PeerDatagramKind.Admitted]: (sharing, _from, message) => sharing.client.handleAnswer(message)
}
