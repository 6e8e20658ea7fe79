import type { Log } from '../logs/log.js'
import { type PeerDatagram, PeerDatagramKind } from './peer-datagram.js'
import type { Ledger, LedgerDecision, OrganisationLimit } from './quota-ledger.js'

/** Time without an answer after which the next request is sent, in milliseconds; an answer usually takes a few milliseconds. */
const RESEND_MS = 40

/** Requests to the coordinator before the next instance in the order is asked: datagrams may be lost. */
const COORDINATOR_SENDS = 3

/** Requests to each of the others. */
const DEPUTY_SENDS = 2

/** Unanswered questions in a row after which an instance is skipped. */
const SILENT_QUESTIONS = 2

/** Time for which an instance is skipped that does not answer, in milliseconds. */
const SILENCE_MS = 500

/** Age from which a grant is not used, in milliseconds: it belongs to an earlier time of the quota's window. */
const GRANT_LIFETIME_MS = 1000

/** Longest time for which a refusal is repeated without asking, in milliseconds; units may be returned meanwhile. */
const REFUSAL_MEMORY_MS = 250

/** Time for which an ended request is remembered so that a second grant can be returned, in milliseconds. */
const LATE_ANSWER_MS = 2000

const MS_PER_SECOND = 1000

export enum QuotaVerdict {
  Granted = 'granted',
  Refused = 'refused',
  /** No instance that keeps the organisation's quota has answered. */
  Undecided = 'undecided'
}

/** Whether a request is within the quota of its organisation. */
export interface QuotaAdmission {
  verdict: QuotaVerdict
  cost: number
  /** Time until such a request is granted, in milliseconds; null if it never will be, or if that is unknown. */
  waitMs: number | null
  /** Address of the instance that decided; null for a grant that is counted afterwards. */
  decidedBy: string | null
}

interface QuotaClientOptions {
  ip: string
  nowMs: () => number
  log: Log
  windowS: number
  /** Instances that may decide for an organisation, the coordinator first. */
  coordinators: (organisation: string) => string[]
  /** The ledger in which this instance decides for others as the coordinator or a deputy. */
  ledgerFor: (from: string, limit: OrganisationLimit) => Ledger
  /** Decides when no other instance answers. */
  ownLedger: Ledger
  /** Units of an organisation that this instance may use before they are counted. */
  uncountedUnits: (limit: OrganisationLimit) => number
  /** Called for an instance that has not answered a question. */
  onSilence: (ip: string) => void
  onAnswer: (ip: string) => void
  send: (ip: string, message: PeerDatagram) => void
}

interface Question {
  limit: OrganisationLimit
  cost: number
  /** Whether the units have been used already. */
  spent: boolean
}

interface Answer extends LedgerDecision {
  from: string
}

interface Use {
  limit: OrganisationLimit
  /** Units of grants that no message has told of; negative if more were returned. */
  untold: number
  /** Units that were told of and not yet confirmed. */
  unconfirmed: number
}

/** Decides for the requests of this instance whether they are within the quotas of their organisations, by asking the coordinators. */
export class QuotaClient {
  readonly #options: QuotaClientOptions
  readonly #outstanding = new Map<string, (answer: Answer) => void>()
  /** Ended questions, for grants that arrive later. */
  readonly #ended = new Map<string, Question & { endedMs: number }>()
  readonly #uses = new Map<string, Use>()
  /** By organisation; requests that cost at least as much are refused. */
  readonly #refusals = new Map<string, { cost: number, untilMs: number, grantedFromMs: number, by: string }>()
  /** By address: questions in a row that an instance has not answered, and when the last one was given up, in milliseconds. */
  readonly #silences = new Map<string, { questions: number, endedMs: number }>()
  #questions = 0

  constructor (options: QuotaClientOptions) {
    this.#options = options
  }

  /** Takes the units of one request; at once where no other instance has to be asked. */
  acquire (limit: OrganisationLimit, cost: number): QuotaAdmission | Promise<QuotaAdmission> {
    const refusal = this.#rememberedRefusal(limit, cost)
    if (refusal !== null) return refusal
    const [coordinator] = this.#options.coordinators(limit.organisation)
    if (coordinator === this.#options.ip) return this.#admission({ limit, cost, spent: false }, this.#decideHere({ limit, cost, spent: false }))
    return this.#useUncounted(limit, cost) ?? this.#request({ limit, cost, spent: false })
  }

  /** Returns the units of a request that has not run. */
  release (limit: OrganisationLimit, { verdict, cost, decidedBy }: QuotaAdmission): void {
    if (verdict !== QuotaVerdict.Granted) return
    if (decidedBy === null) this.#use(limit).untold -= cost
    else this.#return(decidedBy, { limit, cost, spent: false })
  }

  /** Tells the coordinators of units used since the last call. */
  tellUses (): void {
    for (const use of this.#uses.values()) {
      const { limit, untold } = use
      if (untold === 0) continue
      use.untold = 0
      use.unconfirmed += untold
      this.#confirm(use, { limit, cost: untold, spent: true }).catch((error: unknown) => this.#options.log.error('quota.fault', { organisation: limit.organisation, detail: String(error) }))
    }
    this.#forgetEnded()
  }

  /** Decides for another instance. */
  answer (from: string, { id, organisation, cost, spent, perS, burst, version }: Extract<PeerDatagram, { kind: PeerDatagramKind.QuotaRequest }>): void {
    const limit = { organisation, perS, burst, version }
    const ledger = this.#options.ledgerFor(from, limit)
    const decision = spent ? ledger.charge(limit, cost) : ledger.take(limit, cost)
    this.#options.log.debug('quota.decided', { organisation, cost, spent, granted: decision.granted, waitMs: decision.waitMs ?? 'never', level: Math.round(ledger.level(organisation) ?? 0), from, version })
    // Nobody waits for the answer to a return.
    if (cost >= 0) this.#options.send(from, { kind: PeerDatagramKind.QuotaAnswer, id, ...decision })
  }

  handleAnswer (from: string, { id, granted, waitMs }: Extract<PeerDatagram, { kind: PeerDatagramKind.QuotaAnswer }>): void {
    this.#silences.delete(from)
    this.#options.onAnswer(from)
    const settle = this.#outstanding.get(id)
    if (settle !== undefined) return settle({ from, granted, waitMs })
    const question = this.#ended.get(id)
    // Another instance has decided already, or the same one twice. Units that were spent may be counted twice, but not returned: nobody else may have counted them.
    if (question !== undefined && granted && !question.spent) this.#return(from, question)
  }

  /** Forgets all organisations except the given ones. */
  retain (organisations: Set<string>): void {
    for (const table of [this.#uses, this.#refusals]) for (const organisation of table.keys()) if (!organisations.has(organisation)) table.delete(organisation)
  }

  #rememberedRefusal ({ organisation }: OrganisationLimit, cost: number): QuotaAdmission | null {
    const refusal = this.#refusals.get(organisation)
    if (refusal === undefined || cost < refusal.cost) return null
    const nowMs = this.#options.nowMs()
    if (nowMs >= refusal.untilMs) return null
    return { verdict: QuotaVerdict.Refused, cost, waitMs: refusal.grantedFromMs - nowMs, decidedBy: refusal.by }
  }

  #useUncounted (limit: OrganisationLimit, cost: number): QuotaAdmission | null {
    const use = this.#use(limit)
    if (Math.max(0, use.untold) + use.unconfirmed + cost > this.#options.uncountedUnits(limit)) return null
    use.untold += cost
    return { verdict: QuotaVerdict.Granted, cost, waitMs: 0, decidedBy: null }
  }

  async #request (question: Question): Promise<QuotaAdmission> {
    const answer = await this.#ask(question)
    if (answer !== null) return this.#admission(question, answer)
    const { granted } = this.#options.ownLedger.take(question.limit, question.cost)
    return { verdict: granted ? QuotaVerdict.Granted : QuotaVerdict.Undecided, cost: question.cost, waitMs: null, decidedBy: this.#options.ip }
  }

  async #confirm (use: Use, question: Question): Promise<void> {
    if (question.cost < 0) {
      use.unconfirmed -= question.cost
      const [coordinator] = this.#targets(question.limit.organisation)
      if (coordinator !== undefined) this.#return(coordinator, { ...question, cost: -question.cost })
      return
    }
    const answer = await this.#ask(question)
    if (answer !== null) this.#admission(question, answer)
    // Uncounted units stay in use for a window, so that no window has more of them than its share.
    else await new Promise((resolve) => { setTimeout(resolve, this.#options.windowS * MS_PER_SECOND).unref() })
    use.unconfirmed -= question.cost
  }

  /** Asks the instances in their order until one answers; null if none does. */
  async #ask (question: Question): Promise<Answer | null> {
    const targets = this.#targets(question.limit.organisation)
    for (const target of targets) {
      if (target === this.#options.ip) return this.#decideHere(question)
      const answer = await this.#askOne(target, question, target === targets[0] ? COORDINATOR_SENDS : DEPUTY_SENDS)
      if (answer !== null) return answer
      this.#silences.set(target, { questions: (this.#silences.get(target)?.questions ?? 0) + 1, endedMs: this.#options.nowMs() })
      this.#options.onSilence(target)
    }
    return null
  }

  #askOne (target: string, question: Question, sends: number): Promise<Answer | null> {
    const { ip, nowMs, send } = this.#options
    this.#questions += 1
    const id = `${ip}-${this.#questions}`
    const { limit, cost, spent } = question
    return new Promise((resolve) => {
      let unanswered = 0
      let timer: NodeJS.Timeout | undefined
      const settle = (answer: Answer | null): void => {
        clearTimeout(timer)
        this.#outstanding.delete(id)
        this.#ended.set(id, { ...question, endedMs: nowMs() })
        resolve(answer)
      }
      const startedMs = nowMs()
      const sendRequest = (): void => {
        if (unanswered >= sends) return settle(null)
        unanswered += 1
        timer = setTimeout(sendRequest, RESEND_MS)
        send(target, { kind: PeerDatagramKind.QuotaRequest, id, ...limit, cost, spent })
      }
      this.#outstanding.set(id, (answer) => {
        if (spent || nowMs() - startedMs <= GRANT_LIFETIME_MS) return settle(answer)
        if (answer.granted) this.#return(answer.from, question)
        settle(null)
      })
      sendRequest()
    })
  }

  #targets (organisation: string): string[] {
    const nowMs = this.#options.nowMs()
    const coordinators = this.#options.coordinators(organisation)
    const answering = coordinators.filter((ip) => {
      const { questions, endedMs } = this.#silences.get(ip) ?? { questions: 0, endedMs: -Infinity }
      return questions < SILENT_QUESTIONS || nowMs - endedMs >= SILENCE_MS
    })
    return answering.length > 0 ? answering : coordinators.slice(0, 1)
  }

  #decideHere ({ limit, cost, spent }: Question): Answer {
    const { ip, ledgerFor } = this.#options
    const ledger = ledgerFor(ip, limit)
    return { from: ip, ...(spent ? ledger.charge(limit, cost) : ledger.take(limit, cost)) }
  }

  #admission ({ limit: { organisation }, cost, spent }: Question, { from, granted, waitMs }: Answer): QuotaAdmission {
    if (granted) return { verdict: QuotaVerdict.Granted, cost, waitMs: 0, decidedBy: from }
    const nowMs = this.#options.nowMs()
    if (waitMs !== null) this.#refusals.set(organisation, { cost: spent ? 0 : cost, untilMs: nowMs + Math.min(waitMs, REFUSAL_MEMORY_MS), grantedFromMs: nowMs + waitMs, by: from })
    return { verdict: QuotaVerdict.Refused, cost, waitMs, decidedBy: from }
  }

  #return (to: string, { limit, cost }: Question): void {
    const { ip, ledgerFor, send } = this.#options
    if (to === ip) ledgerFor(ip, limit).charge(limit, -cost)
    else send(to, { kind: PeerDatagramKind.QuotaRequest, id: '', ...limit, cost: -cost, spent: true })
  }

  #use (limit: OrganisationLimit): Use {
    const use = this.#uses.get(limit.organisation) ?? { limit, untold: 0, unconfirmed: 0 }
    use.limit = limit
    this.#uses.set(limit.organisation, use)
    return use
  }

  #forgetEnded (): void {
    const sinceMs = this.#options.nowMs() - LATE_ANSWER_MS
    for (const [id, { endedMs }] of this.#ended) {
      if (endedMs >= sinceMs) return
      this.#ended.delete(id)
    }
  }
}
