import { type BackendServer, RunnerRole } from '../../../src/gateway/backend.js'
import { BackendTable } from '../../../src/gateway/backend-table.js'
import type { OrderTokenIssuer } from '../../../src/gateway/order-token-issuer.js'
import type { PlacementRequest } from '../../../src/gateway/placement.js'
import { PlacementScheduler } from '../../../src/gateway/placement-scheduler.js'
import { RoleRebalancer } from '../../../src/gateway/role-rebalancer.js'
import { seededRandom } from '../../../src/runtime/random.js'
import { backend, recordingLog, ScriptedBackendClient } from '../gateway-fixtures.js'

const STEP_MS = 2.5
const TICK_MS = 25
const REPORT_MS = 300
const REBALANCE_MS = 1000
const OBJECTIVE_MS = 900
/** Time for which a request waits for a placement at most. */
export const PATIENCE_MS = 2300
/** Time after which a refused caller returns at the latest. */
const LONGEST_RETURN_MS = 4400

/** The runners of a service and what they take for their work. */
export interface ModelFleet {
  prefillRunners: number
  decodeRunners: number
  memoryTokens: number
  slots: number
  roleChangeMs: number
  /** Time for each prompt in addition to its tokens. */
  promptMs: number
  /** Time after the prefill until its answer, in which the runner processes the next prompt. */
  promptLatencyMs: number
  promptTokensPerMs: number
  /** Time for one token of each run, alone and for each run on the runner. */
  tokenMs: number
  tokenMsPerRun: number
}

/** Callers of one organisation and priority. */
export interface ModelSource {
  name: string
  organisation: string
  priority: number
  requestsPerS: (second: number) => number
  objectiveMs?: number
  promptTokens?: number
  /** Further attempts that a refused caller makes at once instead of returning when told; 0 by default. */
  abusiveAttempts?: number
}

export interface SourceResult {
  asked: number
  onTime: number
  late: number
  /** Callers that were refused and had no attempt left. */
  refused: number
}

export interface ModelLoad {
  seconds: number
  requestsPerS: (second: number) => number
  promptTokens: number
  outputTokens: number
  /** When all instances lose what they know, in seconds. */
  restartS?: number
  /** Callers of several organisations or priorities; instead of `requestsPerS`. */
  sources?: ModelSource[]
  /** Arrivals that count in the results of the sources, in seconds; all by default. */
  counted?: { fromS: number, untilS: number }
  /** Share of the decode runners that is lost for a time. */
  loss?: { fromS: number, untilS: number, share: number }
}

export interface ModelResult {
  asked: number
  /** Requests by the second of their arrival. */
  askedInS: number[]
  onTime: number
  late: number
  /** Callers that were refused and had no attempt left. */
  refused: number
  orders: Array<{ atS: number, role: RunnerRole }>
  /** Time that each refused attempt had waited, in milliseconds. */
  refusalsMs: number[]
  bySource: Record<string, SourceResult>
}

interface ModelRun {
  id: string
  source: ModelSource
  arrivedMs: number
  promptTokens: number
  outputTokens: number
  madeTokens: number
  decode: string
  prefill: string | null
  firstEventMs: number | null
}

/** Runs the placement and role decisions of one coordinator against modelled runners in virtual time. The same seed gives the same result. */
export class LoadModel {
  readonly #fleet: ModelFleet
  readonly #load: ModelLoad
  readonly #random: () => number
  readonly #clock = { ms: 0 }
  readonly #backends = new BackendTable({ nowMs: () => this.#clock.ms })
  readonly #backendClient = new ScriptedBackendClient(() => 'silent')
  readonly #runs = new Map<string, ModelRun>()
  readonly #changes: Array<{ server: BackendServer, role: RunnerRole, readyMs: number }> = []
  /** By prefill runner, when it has processed its prompts. */
  readonly #prefillEnds = new Map<string, number>()
  readonly #returns: Array<{ atMs: number, run: ModelRun, request: PlacementRequest, attemptsLeft: number }> = []
  readonly #result: ModelResult = { asked: 0, askedInS: [], onTime: 0, late: 0, refused: 0, orders: [], refusalsMs: [], bySource: {} }
  #scheduler: PlacementScheduler
  #rebalancer: RoleRebalancer
  #mayOrder: boolean
  readonly #sources: ModelSource[]
  /** Decode runners that are lost at the moment. */
  #lost: BackendServer[] = []

  constructor (options: { fleet: ModelFleet, load: ModelLoad, seed: number, mayOrder?: boolean }) {
    this.#fleet = options.fleet
    this.#load = options.load
    this.#sources = options.load.sources ?? [{ name: 'all', organisation: '', priority: 0, requestsPerS: options.load.requestsPerS }]
    this.#random = seededRandom(options.seed)
    this.#mayOrder = options.mayOrder ?? true
    const add = (count: number, stage: RunnerRole): void => {
      for (let index = 0; index < count; index += 1) this.#backends.put(backend({ id: `${stage}${index}`, service: 'model', stage }))
    }
    add(options.fleet.prefillRunners, RunnerRole.Prefill)
    add(options.fleet.decodeRunners, RunnerRole.Decode)
    this.#scheduler = this.#createScheduler()
    this.#rebalancer = this.#createRebalancer()
  }

  async run (): Promise<ModelResult> {
    const endMs = this.#load.seconds * 1000
    for (; this.#clock.ms < endMs; this.#clock.ms += STEP_MS) {
      const { ms } = this.#clock
      if (ms === (this.#load.restartS ?? -1) * 1000) this.#restart()
      for (const source of this.#sources) if (this.#random() < source.requestsPerS(ms / 1000) * STEP_MS / 1000) this.#arrive(source)
      this.#loseRunners()
      for (const due of this.#returns.filter(({ atMs }) => atMs <= ms)) {
        this.#returns.splice(this.#returns.indexOf(due), 1)
        this.#submit(due.run, due.request, due.attemptsLeft)
      }
      this.#finishChanges()
      this.#decode()
      if (ms % TICK_MS === 0) this.#scheduler.tick()
      if (ms % REPORT_MS === 0) this.#scheduler.recordProgress([...this.#runs.values()].filter(({ madeTokens }) => madeTokens > 0).map(({ id, decode, promptTokens, outputTokens, madeTokens }) => ({ id, service: 'model', decode, promptTokens, madeTokens: Math.floor(madeTokens), output: { estimateTokens: outputTokens, maxTokens: 2 * outputTokens } })))
      if (ms % REBALANCE_MS === 0 && this.#mayOrder) await this.#rebalance()
    }
    return this.#result
  }

  #createScheduler (): PlacementScheduler {
    const { memoryTokens, slots, roleChangeMs } = this.#fleet
    return new PlacementScheduler({ nowMs: () => this.#clock.ms, backends: this.#backends, engine: () => ({ memoryTokens, slots, roleChangeMs, tokensPerEvent: 1 }), isChangingRole: (id) => this.#rebalancer.isChanging(id) })
  }

  #createRebalancer (): RoleRebalancer {
    return new RoleRebalancer({
      backends: this.#backends,
      backendClient: this.#backendClient,
      tokenIssuer: { mayAcquire: () => true, acquire: () => Promise.resolve(1) } as unknown as OrderTokenIssuer,
      holder: 'a',
      requestMix: (service) => this.#scheduler.requestMix(service),
      demand: (service) => this.#scheduler.demand(service),
      roleChangeMs: () => this.#fleet.roleChangeMs,
      load: (server) => this.#scheduler.load(server),
      log: recordingLog(),
      nowMs: () => this.#clock.ms
    })
  }

  #restart (): void {
    this.#runs.clear()
    this.#prefillEnds.clear()
    this.#rebalancer = this.#createRebalancer()
    this.#scheduler = this.#createScheduler()
  }

  #loseRunners (): void {
    const { loss } = this.#load
    if (loss === undefined) return
    const { ms } = this.#clock
    if (ms === loss.fromS * 1000) {
      const decode = this.#backends.ready('model', RunnerRole.Decode)
      this.#lost = decode.slice(0, Math.round(decode.length * loss.share))
      for (const server of this.#lost) {
        this.#backends.remove(server.id)
        this.#scheduler.removeRunner(server)
        for (const run of [...this.#runs.values()]) if (run.decode === server.id) this.#runs.delete(run.id)
      }
    }
    if (ms === loss.untilS * 1000) for (const server of this.#lost.splice(0)) this.#backends.put({ ...server, startedAtMs: ms })
  }

  #arrive (source: ModelSource): void {
    const vary = (mean: number, spread: number): number => Math.max(1, Math.round(mean * Math.exp(spread * (this.#random() + this.#random() + this.#random() - 1.5) * 2 - spread * spread / 2)))
    this.#result.asked += 1
    this.#resultOf(source, this.#clock.ms).asked += 1
    const second = Math.floor(this.#clock.ms / 1000)
    this.#result.askedInS[second] = (this.#result.askedInS[second] ?? 0) + 1
    const id = `q${this.#result.asked}`
    const outputTokens = vary(this.#load.outputTokens, 0.6)
    const run = { id, source, arrivedMs: this.#clock.ms, promptTokens: vary(source.promptTokens ?? this.#load.promptTokens, 0.5), outputTokens, madeTokens: 0, decode: '', prefill: null, firstEventMs: null }
    this.#submit(run, { id, service: 'model', failureDomain: 'a', organisation: source.organisation, priority: source.priority, longestReturnMs: LONGEST_RETURN_MS, promptTokens: run.promptTokens, output: { estimateTokens: outputTokens, maxTokens: 2 * outputTokens }, promptId: id, objectiveLeftMs: source.objectiveMs ?? OBJECTIVE_MS, patienceMs: PATIENCE_MS, pauses: [] }, 1 + (source.abusiveAttempts ?? 0))
  }

  #submit (run: ModelRun, request: PlacementRequest, attemptsLeft: number): void {
    const submittedMs = this.#clock.ms
    this.#scheduler.submit(request, (decision) => {
      if (!('refusal' in decision)) return this.#start(run, decision.decode, decision.prefill)
      this.#result.refusalsMs.push(this.#clock.ms - submittedMs)
      if (attemptsLeft > 0) {
        const returnMs = attemptsLeft > 1 ? STEP_MS : decision.retryAfterMs
        return this.#returns.push({ atMs: this.#clock.ms + returnMs, run, request, attemptsLeft: attemptsLeft - 1 })
      }
      this.#result.refused += 1
      this.#resultOf(run.source, run.arrivedMs).refused += 1
    })
  }

  #resultOf ({ name }: ModelSource, arrivedMs: number): SourceResult {
    const { fromS, untilS } = this.#load.counted ?? { fromS: 0, untilS: Infinity }
    if (arrivedMs < fromS * 1000 || arrivedMs >= untilS * 1000) return { asked: 0, onTime: 0, late: 0, refused: 0 }
    const result = this.#result.bySource[name] ??= { asked: 0, onTime: 0, late: 0, refused: 0 }
    return result
  }

  #start (run: ModelRun, decode: string, prefill: string | null): void {
    Object.assign(run, { decode, prefill })
    this.#runs.set(run.id, run)
    if (prefill === null) return
    const { promptMs, promptLatencyMs, promptTokensPerMs } = this.#fleet
    this.#prefillEnds.set(prefill, Math.max(this.#clock.ms, this.#prefillEnds.get(prefill) ?? 0) + promptMs + run.promptTokens / promptTokensPerMs)
    Object.assign(run, { readyMs: (this.#prefillEnds.get(prefill) ?? 0) + promptLatencyMs })
  }

  #decode (): void {
    const { ms } = this.#clock
    const running = new Map<string, number>()
    for (const run of this.#runs.values()) if (run.prefill === null) running.set(run.decode, (running.get(run.decode) ?? 0) + 1)
    for (const run of [...this.#runs.values()]) {
      if (run.prefill !== null) {
        if (ms < (run as ModelRun & { readyMs: number }).readyMs) continue
        run.prefill = null
        this.#scheduler.recordPrefillDone(run.id, 1)
        continue
      }
      run.madeTokens += STEP_MS / (this.#fleet.tokenMs + this.#fleet.tokenMsPerRun * (running.get(run.decode) ?? 1))
      if (run.firstEventMs === null && run.madeTokens >= 1) {
        run.firstEventMs = ms
        const outcome = ms - run.arrivedMs <= (run.source.objectiveMs ?? OBJECTIVE_MS) ? 'onTime' : 'late'
        this.#result[outcome] += 1
        this.#resultOf(run.source, run.arrivedMs)[outcome] += 1
      }
      if (run.madeTokens < run.outputTokens) continue
      this.#runs.delete(run.id)
      this.#scheduler.release(run.id)
    }
  }

  async #rebalance (): Promise<void> {
    const ordersBefore = this.#backendClient.orders.length
    await this.#rebalancer.rebalance('model')
    const order = this.#backendClient.orders[ordersBefore]
    if (order === undefined) return
    this.#result.orders.push({ atS: this.#clock.ms / 1000, role: order.role })
    this.#changes.push({ server: order.backend, role: order.role, readyMs: Infinity })
  }

  #finishChanges (): void {
    for (const change of this.#changes) {
      const isBusy = [...this.#runs.values()].some(({ decode, prefill }) => decode === change.server.id || prefill === change.server.id)
      if (!isBusy) change.readyMs = Math.min(change.readyMs, this.#clock.ms + this.#fleet.roleChangeMs)
      if (this.#clock.ms < change.readyMs) continue
      this.#backends.put({ ...change.server, stage: change.role })
      this.#changes.splice(this.#changes.indexOf(change), 1)
    }
  }
}
