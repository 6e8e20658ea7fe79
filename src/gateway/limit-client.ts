import { type BackendServer, incarnationOf } from './backend.js'
import type { InstanceTable } from './instance-table.js'
import type { LimitKeeper } from './limit-keeper.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { ServerLimits } from './server-limits.js'

/** Time without an answer after which a permit is requested again, in milliseconds; an answer usually takes a few milliseconds. */
const RESEND_MS = 40

/** Number of unanswered requests for a permit after which the send is refused. */
const MAX_UNANSWERED_SENDS = 2

/** Time after an unanswered request before the next one for the same server, in milliseconds. */
const SILENT_KEEPER_BACKOFF_MS = 150

/** Whether a request may be sent to a server. */
export interface Admission {
  admitted: boolean
  /** Time after which the next send may be admitted, in milliseconds. */
  waitMs: number
}

interface LimitClientOptions {
  ip: string
  nowMs: () => number
  limits: ServerLimits
  keeper: LimitKeeper
  instances: InstanceTable
  /** Whether this instance may keep limits itself. */
  canCoordinate: () => boolean
  send: (ip: string, message: PeerDatagram) => void
}

/** Requests permits for sends to servers with limits from the instance that coordinates their service. */
export class LimitClient {
  readonly #options: LimitClientOptions
  readonly #outstanding = new Map<string, (admission: Admission) => void>()
  /** By incarnation, until when this instance asks for no permit, in milliseconds. */
  readonly #refusedUntilMs = new Map<string, number>()
  #requests = 0

  constructor (options: LimitClientOptions) {
    this.#options = options
  }

  isLimited (backend: BackendServer): boolean {
    return this.#options.limits.limitOf(backend) !== null
  }

  /** Takes a permit for one send. Without an answer of the keeper nothing is sent, since other instances may use up the limit. */
  async acquire (backend: BackendServer): Promise<Admission> {
    const { ip, nowMs, keeper, instances, canCoordinate } = this.#options
    if (!this.isLimited(backend)) return { admitted: true, waitMs: 0 }
    const server = incarnationOf(backend)
    const refusedMs = (this.#refusedUntilMs.get(server) ?? -Infinity) - nowMs()
    if (refusedMs > 0) return { admitted: false, waitMs: refusedMs }
    const coordinator = instances.coordinatorOf(backend.service, canCoordinate())
    const admission = coordinator === ip
      ? { admitted: keeper.tryTake(backend), waitMs: keeper.waitMs(backend) }
      : await this.#requestFrom(coordinator, backend)
    if (!admission.admitted) this.#refusedUntilMs.set(server, nowMs() + admission.waitMs)
    return admission
  }

  /** Answers another instance's request for a permit. An instance that does not coordinate the service refuses. */
  answer (from: string, id: string, backend: BackendServer | undefined): void {
    const { ip, keeper, instances, canCoordinate, send } = this.#options
    const coordinates = backend !== undefined && instances.coordinatorOf(backend.service, canCoordinate()) === ip
    const admitted = coordinates && keeper.tryTake(backend)
    const waitMs = coordinates ? keeper.waitMs(backend) : SILENT_KEEPER_BACKOFF_MS
    send(from, { kind: PeerDatagramKind.Admitted, id, admitted, waitMs })
  }

  handleAnswer ({ id, admitted, waitMs }: Extract<PeerDatagram, { kind: PeerDatagramKind.Admitted }>): void {
    this.#outstanding.get(id)?.({ admitted, waitMs })
  }

  /** Forgets all servers except the given incarnations. */
  retain (incarnations: Set<string>): void {
    for (const server of this.#refusedUntilMs.keys()) if (!incarnations.has(server)) this.#refusedUntilMs.delete(server)
  }

  #requestFrom (coordinator: string, backend: BackendServer): Promise<Admission> {
    const { ip, limits, instances, send } = this.#options
    this.#requests += 1
    const id = `${ip}-${this.#requests}`
    return new Promise((resolve) => {
      let unanswered = 0
      let timer: NodeJS.Timeout | undefined
      const settle = (admission: Admission): void => {
        clearTimeout(timer)
        this.#outstanding.delete(id)
        resolve(admission)
      }
      const sendRequest = (): void => {
        if (unanswered >= MAX_UNANSWERED_SENDS) {
          instances.markDeadIfSilent(coordinator)
          return settle({ admitted: false, waitMs: SILENT_KEEPER_BACKOFF_MS })
        }
        unanswered += 1
        send(coordinator, { kind: PeerDatagramKind.Admit, id, server: backend.id, report: limits.reportOf(backend) })
        timer = setTimeout(sendRequest, RESEND_MS)
      }
      this.#outstanding.set(id, settle)
      sendRequest()
    })
  }
}
