import type { Log } from '../logs/log.js'
import type { BackendServer } from './backend.js'
import type { BackendClient } from './backend-client.js'
import type { BackendTable } from './backend-table.js'
import type { InstanceTable } from './instance-table.js'
import { LeavingNotices, type LeavingReport } from './leaving-notices.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { ReportExchange } from './report-exchange.js'

/** Number of servers in one message, so that it fits one packet. */
const SERVERS_PER_MESSAGE = 16

interface LeavingSharingOptions {
  nowMs: () => number
  log: Log
  backends: BackendTable
  backendClient: BackendClient
  instances: InstanceTable
  send: (ips: string[], message: PeerDatagram) => void
}

/** Shares between all instances which servers have said in their answers that they leave. */
export class LeavingSharing {
  readonly notices: LeavingNotices
  readonly #options: LeavingSharingOptions
  readonly #exchange: ReportExchange<LeavingReport>

  constructor (options: LeavingSharingOptions) {
    const { nowMs, log, backends, backendClient, send } = options
    this.#options = options
    this.notices = new LeavingNotices({ nowMs, log, servers: () => backends.all(), onChange: () => this.#sendAtOnce() })
    this.#exchange = new ReportExchange({
      reports: () => this.notices.reports(),
      perMessage: SERVERS_PER_MESSAGE,
      message: (servers) => ({ kind: PeerDatagramKind.Leaving, servers }),
      send
    })
    backendClient.onLeaving = (backend, byOther) => this.#observe(backend, byOther)
  }

  sendReminder (ips: string[]): void {
    this.#exchange.sendReminder(ips)
  }

  /** Handles a message about servers that leave; returns false for any other message. */
  handleDatagram (from: string, message: PeerDatagram): boolean {
    if (message.kind !== PeerDatagramKind.Leaving) return false
    this.notices.merge(from, message.servers)
    return true
  }

  #observe (backend: BackendServer, byOther: boolean): void {
    // A 421 comes from the server itself, which has another role, or from the one that now has its address.
    const others = byOther ? this.#options.backends.all().filter(({ address }) => address === backend.address) : []
    for (const server of [backend, ...others]) this.notices.observe(server)
  }

  /** Not with the next tick: until a coordinator is told, it goes on placing requests on the server. */
  #sendAtOnce (): void {
    this.#exchange.markChanged()
    this.#exchange.sendChanges(this.#options.instances.knownAddresses())
  }
}
