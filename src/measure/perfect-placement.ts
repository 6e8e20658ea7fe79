import { EngineModel } from '../model/engine-model.js'
import { History, RecordKind } from '../model/history.js'
import { VirtualClock } from '../model/virtual-clock.js'
import { resultOf, type RunResult } from './goodput.js'
import type { Arrival, Workload } from './workload.js'

const TAIL_MS = 20000

/** A request is started only if its first token can still come in time with this much to spare. */
const MARGIN_MS = 100

/**
 * One placement for all requests that reads the true state of the engines without delay: it starts a prefill when a
 * prefill runner is idle and a decode runner has room, chooses the runner by true cache and memory, and gives up a
 * request once its first token can't come in time. It serves in order of arrival, so that it is a strong reference
 * rather than a proven optimum.
 */
class PerfectPlacement {
  readonly history: History
  readonly clock = new VirtualClock()
  readonly #workload: Workload
  readonly #firstTokenMs: number
  readonly #prefill: EngineModel[]
  readonly #decode: EngineModel[]
  readonly #promised = new Map<EngineModel, number>()
  readonly #busy = new Map<EngineModel, number>()
  readonly #waiting: Arrival[] = []

  constructor (workload: Workload) {
    this.history = new History({ nowMs: () => this.clock.nowMs })
    this.#workload = workload
    this.#firstTokenMs = workload.deployment.bundle.classes[0]?.firstTokenMs ?? Infinity
    const { clock, history } = this
    const create = (id: string): EngineModel => new EngineModel({ ...workload.engine, id, clock, history, reportLagMs: 1000 })
    this.#prefill = Array.from({ length: workload.prefillRunners }, (_, index) => create(`prefill-${index}`))
    this.#decode = Array.from({ length: workload.decodeRunners }, (_, index) => create(`decode-${index}`))
  }

  arrive (arrival: Arrival): void {
    const { subject, promptTokens, maxTokens } = arrival
    const expectedTokens = Array.from({ length: maxTokens }, (_, index) => `${subject}#${index}`)
    this.history.add(RecordKind.RequestSent, { attempt: subject, subject, expectedTokens, count: promptTokens })
    this.#waiting.push(arrival)
    this.#dispatch()
  }

  #dispatch (): void {
    for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
      const prefill = this.#bestPrefill(next)
      const decode = this.#bestDecode(next)
      if (this.#soonest(next) > this.#firstTokenMs - MARGIN_MS) {
        this.#waiting.shift()
        this.history.add(RecordKind.RequestRefused, { attempt: next.subject, subject: next.subject })
        continue
      }
      if (prefill === undefined || decode === undefined) return
      this.#waiting.shift()
      this.#start(next, prefill, decode)
    }
  }

  /** Time from arrival to the first token if the request started now on its best runner. */
  #soonest ({ atMs, pieces, promptTokens }: Arrival): number {
    const { engine } = this.#workload
    const cached = Math.max(...this.#prefill.map((runner) => runner.leading(pieces)))
    const prefillMs = (promptTokens - cached * engine.pieceTokens) / engine.prefillTokensPerSecond * 1000
    const transferMs = promptTokens * engine.kvBytesPerToken / engine.linkBytesPerSecond * 1000
    return this.clock.nowMs - atMs + prefillMs + transferMs + engine.tokenMs
  }

  #bestPrefill ({ pieces }: Arrival): EngineModel | undefined {
    const idle = this.#prefill.filter((engine) => (this.#busy.get(engine) ?? 0) === 0)
    return idle.sort((a, b) => b.leading(pieces) - a.leading(pieces))[0]
  }

  #bestDecode (arrival: Arrival): EngineModel | undefined {
    const free = (engine: EngineModel): number => engine.freePieces - (this.#promised.get(engine) ?? 0)
    const roomy = this.#decode.filter((engine) => free(engine) >= this.#piecesOf(arrival))
    return roomy.sort((a, b) => free(b) - free(a))[0]
  }

  #piecesOf ({ promptTokens, maxTokens }: Arrival): number {
    return Math.ceil((promptTokens + maxTokens) / this.#workload.engine.pieceTokens)
  }

  #start (arrival: Arrival, prefill: EngineModel, decode: EngineModel): void {
    const { subject: work, pieces, promptTokens, maxTokens } = arrival
    const held = this.#piecesOf(arrival)
    const order = { work, owner: 'perfect', incarnation: '1', subject: work, promptTokens }
    this.#add(this.#busy, prefill, 1)
    this.#add(this.#promised, decode, held)
    prefill.prefill({ ...order, pieces, priority: 0 }, (result) => {
      this.#add(this.#busy, prefill, -1)
      this.#add(this.#promised, decode, -held)
      if (typeof result === 'string') return
      decode.import({ ...order, handle: result.handle, source: prefill, maxTokens }, (failure) => {
        if (failure === null) this.#decodeTokens(arrival, decode)
      })
      this.#dispatch()
    })
  }

  #decodeTokens ({ subject, atMs, maxTokens }: Arrival, decode: EngineModel): void {
    let firstTokenMs: number | undefined
    decode.decode({
      work: subject,
      fromToken: 0,
      onToken: () => { firstTokenMs ??= this.clock.nowMs - atMs },
      onEnd: () => {
        const tokens = Array.from({ length: maxTokens }, (_, index) => `${subject}#${index}`)
        this.history.add(RecordKind.RequestAnswered, { attempt: subject, subject, tokens, firstTokenMs: firstTokenMs ?? Infinity })
        this.#dispatch()
      }
    })
  }

  #add (counts: Map<EngineModel, number>, engine: EngineModel, amount: number): void {
    counts.set(engine, (counts.get(engine) ?? 0) + amount)
  }
}

/** Runs arrivals with perfect knowledge of the engines. */
export function runPerfect (workload: Workload, arrivals: Arrival[]): RunResult {
  const placement = new PerfectPlacement(workload)
  for (const arrival of arrivals) placement.clock.schedule(arrival.atMs, () => { placement.arrive(arrival) })
  placement.clock.runUntil((arrivals.at(-1)?.atMs ?? 0) + TAIL_MS)
  const target = workload.deployment.bundle.classes[0]
  if (target === undefined) throw new Error('a bundle without a class')
  return resultOf(placement.history, target)
}
