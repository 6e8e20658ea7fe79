import { request } from 'undici'
import { answerTokens } from '../standin/answer-text.js'
import { type Deployment, organisationKey } from './deployment.js'

/** What one caller saw, counted by itself. */
export interface CallerCounts {
  answered: number
  refusedNotRun: number
  outcomeUnknown: number
  failed: number
  wrongAnswers: number
  duplicateAnswers: number
  /** Model requests sent, and those answered within both targets. */
  modelRequests: number
  goodput: number
  confirmedKeys: string[]
  refusedKeys: string[]
  /** Keys with the outcome that GET /v1/outcomes/KEY told. */
  toldSucceeded: string[]
  toldNotRun: string[]
  ordersSentTwice: number
  ordersWithOwnKeys: number
}

export function emptyCounts (): CallerCounts {
  return { answered: 0, refusedNotRun: 0, outcomeUnknown: 0, failed: 0, wrongAnswers: 0, duplicateAnswers: 0, modelRequests: 0, goodput: 0, confirmedKeys: [], refusedKeys: [], toldSucceeded: [], toldNotRun: [], ordersSentTwice: 0, ordersWithOwnKeys: 0 }
}

const ANSWER_TIMEOUT_MS = 20000

const OWN_KEY_SHARE = 0.4

const TWICE_SHARE = 0.3

/** Share of orders that send the key of an order refused as not run again. */
const AGAIN_SHARE = 0.3

interface Addresses {
  addresses: string[]
  requestKeys: string[]
  untilMs: number
}

interface CallerOptions {
  deployment: Deployment
  seedAddresses: string[]
  /** Ids of all answers that any caller got; an id that comes again is a duplicate answer. */
  answerIds: Set<string>
  random: () => number
}

/** A caller that asks for addresses, keeps them for their lifetime, and checks every answer it gets. */
export class Caller {
  readonly counts = emptyCounts()
  readonly #options: CallerOptions
  #known: Addresses = { addresses: [], requestKeys: [], untilMs: 0 }
  #prompts = 0
  #orders = 0

  constructor (options: CallerOptions) {
    this.#options = options
  }

  /** Sends one model request and checks that its answer is whole and its own. */
  async complete (): Promise<void> {
    const { deployment, random, answerIds } = this.#options
    const prompt = this.#prompt()
    const sentMs = Date.now()
    this.counts.modelRequests += 1
    const answer = await this.#send('POST', '/v1/completions', { model: deployment.modelService, prompt, max_tokens: deployment.outputTokens, stream: random() < 0.5 })
    if (answer === null || answer.status !== 200) {
      this.#countRefusal(answer)
      return
    }
    const completion = answer.streamed ? streamedCompletion(answer.text) : JSON.parse(answer.text) as Completion
    if (completion === null) {
      this.counts.failed += 1
      return
    }
    if (answerIds.has(completion.id)) this.counts.duplicateAnswers += 1
    answerIds.add(completion.id)
    const text = completion.choices.map((choice) => choice.text).join('')
    if (text !== answerTokens(prompt, deployment.outputTokens).join('')) {
      this.counts.wrongAnswers += 1
      return
    }
    this.counts.answered += 1
    const targets = deployment.bundle.classes[0]
    if (targets !== undefined && Date.now() - sentMs <= targets.firstTokenMs + targets.perTokenMs * deployment.outputTokens) this.counts.goodput += 1
  }

  /** Sends one order: some with an own key, some on two connections at once, some again after a refusal. */
  async order (): Promise<void> {
    await this.#refreshAddresses()
    const { random } = this.#options
    const again = random() < AGAIN_SHARE ? this.counts.refusedKeys.pop() : undefined
    const key = again ?? (random() < OWN_KEY_SHARE ? this.#ownKey() : this.#known.requestKeys.pop())
    if (key === undefined) return
    const twice = random() < TWICE_SHARE
    if (twice) this.counts.ordersSentTwice += 1
    const answers = await Promise.all(Array.from({ length: twice ? 2 : 1 }, () => this.#sendOrder(key)))
    const confirmed = answers.filter((answer) => answer?.status === 200)
    // A stored answer is marked: it is given again on request, so only unmarked ones are duplicates.
    if (confirmed.filter((answer) => answer?.source !== 'stored').length > 1) this.counts.duplicateAnswers += 1
    if (confirmed.some((answer) => confirmedKeyOf(answer) !== key)) this.counts.wrongAnswers += 1
    if (confirmed.length > 0) {
      this.counts.answered += 1
      this.counts.confirmedKeys.push(key)
      return
    }
    const refused = answers.find((answer) => classOfAnswer(answer) !== 'not_run') ?? answers[0] ?? null
    if (this.#countRefusal(refused) === 'not_run') this.counts.refusedKeys.push(key)
    else await this.#askOutcome(key)
  }

  async stock (): Promise<void> {
    const answer = await this.#send('GET', this.#options.deployment.stockPath)
    if (answer?.status === 200) this.counts.answered += 1
    else this.#countRefusal(answer)
  }

  #ownKey (): string {
    this.#orders += 1
    this.counts.ordersWithOwnKeys += 1
    return `own-${this.#orders}-${Math.floor(this.#options.random() * 1e12)}`
  }

  async #sendOrder (key: string): Promise<Answer | null> {
    return await this.#send('POST', this.#options.deployment.orderPath, { item: 'cowbell', count: 1 }, key)
  }

  async #askOutcome (key: string): Promise<void> {
    const answer = await this.#send('GET', `/v1/outcomes/${encodeURIComponent(key)}`)
    if (answer?.status !== 200) return
    const { outcome } = JSON.parse(answer.text) as { outcome: string }
    if (outcome === 'succeeded') this.counts.toldSucceeded.push(key)
    if (outcome === 'not_run') this.counts.toldNotRun.push(key)
  }

  #countRefusal (answer: Answer | null): string {
    const refusalClass = classOfAnswer(answer)
    if (refusalClass === 'not_run') this.counts.refusedNotRun += 1
    else if (refusalClass === 'outcome_unknown') this.counts.outcomeUnknown += 1
    else this.counts.failed += 1
    return refusalClass
  }

  #prompt (): string {
    const { deployment, random } = this.#options
    const { from, to } = deployment.promptTokens
    const tokens = Math.floor(from + random() * (to - from))
    this.#prompts += 1
    const unique = `${deployment.name}/${this.#prompts}/${random()}/`
    return unique + 'tuning sheet '.repeat(Math.ceil(tokens * 4 / 13)).slice(0, tokens * 4 - unique.length)
  }

  async #refreshAddresses (): Promise<void> {
    if (Date.now() < this.#known.untilMs && this.#known.requestKeys.length > 0) return
    const { seedAddresses } = this.#options
    for (const address of shuffled([...this.#known.addresses, ...seedAddresses], this.#options.random)) {
      const answer = await exchange({ url: `http://${address}/v1/addresses`, method: 'GET', headers: this.#headers(), timeoutMs: 1000 })
      if (answer?.status !== 200) continue
      const { addresses, requestKeys, lifetimeSeconds } = JSON.parse(answer.text) as { addresses: string[], requestKeys: string[], lifetimeSeconds: number }
      this.#known = { addresses, requestKeys, untilMs: Date.now() + lifetimeSeconds * 1000 }
      return
    }
  }

  async #send (method: 'GET' | 'POST', path: string, body?: unknown, key?: string): Promise<Answer | null> {
    await this.#refreshAddresses()
    const address = shuffled(this.#known.addresses, this.#options.random)[0]
    if (address === undefined) return null
    const headers = { ...this.#headers(), ...(key === undefined ? {} : { 'idempotency-key': key }) }
    return await exchange({ url: `http://${address}${path}`, method, headers, body, timeoutMs: ANSWER_TIMEOUT_MS })
  }

  #headers (): Record<string, string> {
    return { authorization: `Bearer ${organisationKey(this.#options.deployment.organisation)}`, 'content-type': 'application/json' }
  }
}

interface Answer {
  status: number
  text: string
  streamed: boolean
  /** Whether the answer comes from a backend server now, or was stored. */
  source: string
}

async function exchange (options: { url: string, method: 'GET' | 'POST', headers: Record<string, string>, body?: unknown, timeoutMs: number }): Promise<Answer | null> {
  const { url, method, headers, body, timeoutMs } = options
  try {
    const answer = await request(url, {
      method, headers, body: body === undefined ? null : JSON.stringify(body), headersTimeout: timeoutMs, bodyTimeout: timeoutMs
    })
    const streamed = String(answer.headers['content-type']).startsWith('text/event-stream')
    return { status: answer.statusCode, text: await answer.body.text(), streamed, source: String(answer.headers['daisybarrow-source']) }
  } catch {
    return null
  }
}

interface Completion {
  id: string
  choices: Array<{ text: string }>
}

/** Joins an event stream to one completion; null if it ended without its end marker. */
function streamedCompletion (text: string): Completion | null {
  const lines = text.split('\n').filter((line) => line.startsWith('data: ')).map((line) => line.slice('data: '.length))
  if (lines.at(-1) !== '[DONE]') return null
  const parts = lines.slice(0, -1).map((line) => JSON.parse(line) as Completion)
  return { id: parts[0]?.id ?? '', choices: parts.flatMap((part) => part.choices) }
}

function classOfAnswer (answer: Answer | null): string {
  return answer === null ? 'outcome_unknown' : classOf(answer.text)
}

function confirmedKeyOf (answer: Answer | null): string {
  return answer === null ? '' : (JSON.parse(answer.text) as { confirmed: string }).confirmed
}

function classOf (text: string): string {
  try {
    return (JSON.parse(text) as { error: { class: string } }).error.class
  } catch {
    return 'unreadable'
  }
}

function shuffled<T> (items: T[], random: () => number): T[] {
  return items.map((item) => ({ item, order: random() })).sort((a, b) => a.order - b.order).map(({ item }) => item)
}
