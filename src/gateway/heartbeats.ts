import type { InstanceStatus, InstanceTable } from './instance-table.js'
import { decodeLivenessDigest, encodeLivenessDigest, type LivenessEntry } from './liveness-digest.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'

/** Number of addresses of other instances in each heartbeat, from which the receiver learns of new instances without the store. */
const ADDRESSES_PER_HEARTBEAT = 4

type Heartbeat = Extract<PeerDatagram, { kind: PeerDatagramKind.Heartbeat }>

interface HeartbeatsOptions {
  instances: InstanceTable
  status: () => InstanceStatus
  /** Sends what the receivers of a heartbeat should know besides. */
  sendReminders: (ips: string[]) => void
  send: (ips: string[], message: PeerDatagram) => void
  random: () => number
}

/** Sends the heartbeats of this instance and takes in those of the others. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions

  constructor (options: HeartbeatsOptions) {
    this.#options = options
  }

  /** Sends the periodic heartbeat, and the status of a starting instance to those that it has not heard of. */
  sendPeriodic (): void {
    const { instances } = this.#options
    this.#sendTo(instances.heartbeatTargets(), instances.livenessEntries())
    this.#sendTo(instances.introductionTargets(), [], { wantsStatus: true })
  }

  /** Sends the status of this instance without liveness entries, which its receivers get with other heartbeats. */
  introduce (ips: string[]): void {
    this.#sendTo(ips, [])
  }

  receive (from: string, { status, known, sightings, wantsStatus }: Heartbeat): void {
    const { instances } = this.#options
    // A new or returned instance gets a status at once, because it is ready only after it has had time to receive those of the others.
    if (instances.recordHeartbeat(status) || wantsStatus === true) this.introduce([from])
    for (const ip of known) instances.addAddress(ip)
    for (const entry of decodeLivenessDigest(sightings)) instances.mergeLiveness(entry)
  }

  #sendTo (ips: string[], entries: LivenessEntry[], { wantsStatus = false } = {}): void {
    if (ips.length === 0) return
    const { instances, status, send, sendReminders, random } = this.#options
    const addresses = instances.knownAddresses()
    const start = Math.floor(random() * addresses.length)
    const known = Array.from({ length: Math.min(ADDRESSES_PER_HEARTBEAT, addresses.length) }, (_, index) => addresses[(start + index) % addresses.length] ?? '')
    send(ips, { kind: PeerDatagramKind.Heartbeat, status: status(), known, sightings: encodeLivenessDigest(entries), ...(wantsStatus ? { wantsStatus } : {}) })
    sendReminders(ips)
  }
}
