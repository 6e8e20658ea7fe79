import type { Log } from '../logs/log.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import { PromptQuarantine, type SuspectReport } from './prompt-quarantine.js'
import { ReportExchange } from './report-exchange.js'

/** Number of suspected prompt parts in one message, so that it fits one packet. */
const SUSPECTS_PER_MESSAGE = 4

interface QuarantineSharingOptions {
  nowMs: () => number
  log: Log
  send: (ips: string[], message: PeerDatagram) => void
}

/** Shares what is known of prompts that crash runners between all instances. */
export class QuarantineSharing {
  readonly quarantine: PromptQuarantine
  readonly #exchange: ReportExchange<SuspectReport>

  constructor ({ nowMs, log, send }: QuarantineSharingOptions) {
    this.quarantine = new PromptQuarantine({ nowMs, log, onChange: () => this.#exchange.markChanged() })
    this.#exchange = new ReportExchange({
      reports: () => this.quarantine.reports(),
      reminders: () => this.quarantine.activeReports(),
      perMessage: SUSPECTS_PER_MESSAGE,
      message: (suspects) => ({ kind: PeerDatagramKind.Suspects, suspects }),
      send
    })
  }

  sendChanges (ips: string[]): void {
    this.#exchange.sendChanges(ips)
  }

  sendReminder (ips: string[]): void {
    this.#exchange.sendReminder(ips)
  }
}
