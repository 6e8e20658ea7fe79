import { Agent, type IncomingMessage, request } from 'node:http'
import { type CallEnd, CallKind } from './platform-call.js'
import { STREAM_EVENTS } from './platform-runner-standin.js'

/** Longest time a caller waits, in milliseconds. */
export const CALL_DEADLINE_MS = 3000

/** Pause of a caller between two calls, in milliseconds. */
const PAUSE_MS = 40

/** How long a caller keeps an answer of the directory, in milliseconds. */
const KEEP_ADDRESSES_MS = 2000

interface PlatformCallerOptions {
  name: string
  /** Key of its organisation, if the configuration needs keys. */
  key?: string
  directories: string[]
  /** Told how each call ended. */
  onEnd: (end: CallEnd) => void
  random: () => number
}

const paths: Record<CallKind, string> = { [CallKind.Order]: '/orders/x', [CallKind.Check]: '/checks/x', [CallKind.Stream]: '/streams/x' }

/** Takes the place of a caller: asks the directory for addresses and sends calls on kept connections, one after another. */
export class PlatformCallerStandIn {
  readonly #options: PlatformCallerOptions
  readonly #agent = new Agent({ keepAlive: true })
  #addresses: string[] = []
  #keptUntilMs = 0
  #stopped = false
  #calls = 0

  constructor (options: PlatformCallerOptions) {
    this.#options = options
  }

  stop (): void {
    this.#stopped = true
  }

  async run (): Promise<void> {
    while (!this.#stopped) {
      await this.#refresh()
      const address = this.#pick(this.#addresses)
      if (address !== undefined) await this.#call(address)
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS))
    }
    this.#agent.destroy()
  }

  async #refresh (): Promise<void> {
    if (performance.now() < this.#keptUntilMs) return
    const directory = this.#pick(this.#options.directories)
    const body = await new Promise<string>((resolve) => {
      const asked = request(`http://${directory}/v1/resolution?Name=soak.example&Zone=a`, { timeout: 500 }, (answer) => {
        readText(answer).then(({ text }) => resolve(answer.statusCode === 200 ? text : ''), () => resolve(''))
      })
      asked.on('timeout', () => asked.destroy())
      asked.on('error', () => resolve(''))
      asked.end()
    })
    if (body === '') return
    this.#addresses = (JSON.parse(body) as { Addresses: string[] }).Addresses
    this.#keptUntilMs = performance.now() + KEEP_ADDRESSES_MS
  }

  async #call (address: string): Promise<void> {
    const kind = this.#pick(Object.values(CallKind)) ?? CallKind.Check
    this.#calls += 1
    const id = `${this.#options.name}-${this.#calls}`
    this.#options.onEnd(await send(this.#agent, address, kind, id, this.#options.key))
  }

  #pick<T> (from: T[]): T | undefined {
    return from[Math.floor(this.#options.random() * from.length)]
  }
}

function send (agent: Agent, address: string, kind: CallKind, id: string, key?: string): Promise<CallEnd> {
  return new Promise((resolve) => {
    const startedMs = performance.now()
    let sentMs: number | null = null
    const end = (status: number | null, fault: string | null, complete = false): void => {
      clearTimeout(timer)
      resolve({ id, address, kind, status, fault, progress: { startedMs, sentMs, endedMs: performance.now(), complete, deadlineMs: CALL_DEADLINE_MS, answerBytes: 0 } })
    }
    const call = request(`http://${address}${paths[kind]}`, {
      agent,
      method: kind === CallKind.Check ? 'GET' : 'POST',
      headers: {
        Host: 'soak.example',
        'X-Request-Id': id,
        'X-Deadline-Ms': String(CALL_DEADLINE_MS),
        ...(key === undefined ? {} : { 'X-Key': key }),
        ...(kind === CallKind.Stream ? { 'X-Model': 'm', 'X-Token-Counts': '500,900', 'X-Length-Hint': '500' } : {})
      }
    }, (answer) => {
      readText(answer).then(({ text, whole }) => end(answer.statusCode ?? null, whole && answer.statusCode === 200 ? faultOf(kind, id, answer, text) : null, whole), () => end(null, null))
    })
    const timer = setTimeout(() => call.destroy(), CALL_DEADLINE_MS)
    call.on('error', () => end(null, null))
    call.on('finish', () => { sentMs = performance.now() })
    call.end()
  })
}

function faultOf (kind: CallKind, id: string, answer: IncomingMessage, text: string): string | null {
  if (answer.headers['x-response-signature'] !== `signed ${id}`) return `signature ${String(answer.headers['x-response-signature'])}`
  if (kind !== CallKind.Stream) return text === `answer to ${id}` ? null : `answer ${JSON.stringify(text)}`
  const expected = Array.from({ length: STREAM_EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${id}\n\n`).join('')
  return text === expected ? null : `stream ${JSON.stringify(text.slice(0, 400))}`
}

async function readText (answer: IncomingMessage): Promise<{ text: string, whole: boolean }> {
  let text = ''
  try {
    for await (const chunk of answer) text += String(chunk)
  } catch {
    // A broken answer is a legal end; what arrived of it is not judged.
    return { text, whole: false }
  }
  return { text, whole: answer.complete }
}
