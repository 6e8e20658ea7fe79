import type { PeerDatagram } from './peer-datagram.js'

interface ReportExchangeOptions<Report> {
  /** Everything to tell, the most important first. */
  reports: () => Report[]
  /** What instances that may have missed earlier messages need to know, the most important first; `reports` by default. */
  reminders?: () => Report[]
  /** Number of reports in one message, so that it fits one packet. */
  perMessage: number
  message: (reports: Report[]) => PeerDatagram
  send: (ips: string[], message: PeerDatagram) => void
}

/** Tells other instances of observations: all of them when something has changed, and the most important ones again with each heartbeat. */
export class ReportExchange<Report> {
  readonly #options: ReportExchangeOptions<Report>
  #changed = false

  constructor (options: ReportExchangeOptions<Report>) {
    this.#options = options
  }

  markChanged (): void {
    this.#changed = true
  }

  /** Sends all reports if something has changed since the last call. */
  sendChanges (ips: string[]): void {
    if (!this.#changed) return
    this.#changed = false
    const { reports, perMessage, message, send } = this.#options
    const all = reports()
    for (let start = 0; start < all.length; start += perMessage) send(ips, message(all.slice(start, start + perMessage)))
  }

  /** Sends the most important reports to instances that may have missed them, in one message: it accompanies each heartbeat. */
  sendReminder (ips: string[]): void {
    const { reports, reminders = reports, perMessage, message, send } = this.#options
    const newest = reminders().slice(0, perMessage)
    if (newest.length > 0) send(ips, message(newest))
  }
}
