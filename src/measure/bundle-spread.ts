import { createHash, generateKeyPairSync } from 'node:crypto'
import { BundleOperations } from '../admin/bundle-operations.js'
import { type Bundle, bundleSchema } from '../bundles/bundle.js'
import { decodeRecord, headRecordSchema } from '../bundles/bundle-records.js'
import type { PartHash } from '../bundles/part.js'
import { HEAD_KEY, type SignedBundle, signRoot } from '../bundles/signed-bundle.js'
import { MemoryKeyValue } from '../standin/key-value-memory.js'
import type { Measurement, Outcome, Row } from './measurement.js'
import { seededRandom } from './seeded-random.js'
import { SpreadModel, type SpreadModelOptions } from './spread-model.js'

const CHANGES_PER_DAY = 7600
const CHANGE_PERIOD_MS = 24 * 3600 * 1000 / CHANGES_PER_DAY

const ORGANISATIONS = 38000
const SMALL_ORGANISATIONS = 2000

/** Targets: 99 in 100 within this time, and none above the limit while it can be reached. */
const TARGET_MS = 2000
const LIMIT_MS = 8000

const CONTROL_BYTES_PER_SECOND = 3000

/** CPU time of one check and index of 38,000 organisations, rounded up. */
const APPLY_MS = 100

/** Time to start and settle before anything is measured. */
const SETTLE_MS = 30000

/** Pause between measured changes: the limit and some room, so that each is seen through. */
const BETWEEN_MS = 10000

const CHANGES = 20

/** The service goes down this long after the head has moved: some of the watches have reported it by then. */
const DOWN_AFTER_MS = 7

/** Time for the watches to be there again after the service has returned. */
const RECOVERY_MS = 30000

interface Change {
  signed: SignedBundle
  parts: Map<PartHash, Uint8Array>
}

/** Accepts changes through the real operations on a key-value service in memory. */
class Operator {
  readonly keyValue = new MemoryKeyValue()
  readonly #keys = generateKeyPairSync('ed25519')
  readonly trustedKeys = [{ id: 'k', publicKey: String(this.#keys.publicKey.export({ type: 'spki', format: 'pem' })), revoked: false }]
  readonly #operations: BundleOperations
  readonly #random: () => number
  #bundle: Bundle
  #version = 0

  constructor (organisations: number, seed: number) {
    let lastId = 0
    this.#operations = new BundleOperations({ keyValue: this.keyValue, trustedKeys: this.trustedKeys, nowMs: () => 0, nextId: () => { lastId += 1; return `p${lastId}` } })
    this.#random = seededRandom(seed)
    this.#bundle = bundleSchema.parse({
      models: [{ name: 'm', service: 'm' }],
      classes: [{ name: 'standard', firstTokenMs: 540, perTokenMs: 77, deadlineMs: 9000, interactive: true }],
      organisations: Array.from({ length: organisations }, (_, index) => ({ id: `shop-${index}`, keyHashes: [createHash('sha256').update(`key ${index}`).digest('hex')], class: 'standard' }))
    })
  }

  /** Changes one organisation and has the change accepted. */
  async change (): Promise<Change> {
    const chosen = Math.floor(this.#random() * this.#bundle.organisations.length)
    const organisations = this.#bundle.organisations.map((item, index) => index === chosen ? { ...item, concurrency: 1 + Math.floor(this.#random() * 1e6) } : item)
    this.#bundle = { ...this.#bundle, organisations }
    const before = new Set(this.keyValue.keys.keys())
    const proposal = (await this.#operations.propose({ bundle: this.#bundle, parent: this.#version, author: 'measure' })).unwrap()
    const privateKey = String(this.#keys.privateKey.export({ type: 'pkcs8', format: 'pem' }))
    const { signature } = signRoot(proposal.root, 'k', privateKey)
    this.#version = (await this.#operations.sign({ proposal: proposal.id, signature })).unwrap().version
    const head = decodeRecord(this.keyValue.keys.get(HEAD_KEY)?.value ?? new Uint8Array(), headRecordSchema).unwrap()
    const parts = new Map<PartHash, Uint8Array>()
    for (const [key, { value }] of this.keyValue.keys) {
      const hash = /\/part\/(\w+)$/.exec(key)?.[1]
      if (hash !== undefined && !before.has(key)) parts.set(hash, value)
    }
    return { signed: { root: head.root, signature: head.signature }, parts }
  }
}

interface Scenario {
  name: string
  instances: number
  loss?: number
  /** Faults around one change, after it has been accepted. */
  fault?: (model: SpreadModel) => void
  /** Undoes the faults before the next change. */
  repair?: (model: SpreadModel) => void
  /** Domain whose instances are measured from the repair on. */
  cutDomain?: string
}

function sizes (instances: number): Pick<SpreadModelOptions, 'instances' | 'domains' | 'regions'> {
  return instances > 100 ? { instances, domains: 9, regions: 3 } : { instances, domains: 3, regions: 1 }
}

function scenarios (): Scenario[] {
  return [8, 360].flatMap((instances): Scenario[] => [
    { name: 'steady', instances },
    { name: 'a tenth of messages lost', instances, loss: 0.1 },
    { name: 'service down right after acceptance', instances, fault: (model) => { model.clock.runUntil(model.clock.nowMs + DOWN_AFTER_MS); model.setServiceUp(false) }, repair: (model) => model.setServiceUp(true) },
    { name: 'failure domain cut off and back', instances, cutDomain: 'd1' }
  ])
}

interface Delays {
  delays: number[]
  lasts: number[]
  /** Changes that no instance had heard of when the service went down; their time counts from its return. */
  unheard: number
  reverts: number
  missing: number
}

/** Delays to being in force: from acceptance, or from when an instance that could not be reached can be reached again. */
async function runScenario (scenario: Scenario, seed: number): Promise<Delays> {
  const operator = new Operator(SMALL_ORGANISATIONS, seed)
  const model = new SpreadModel({ ...sizes(scenario.instances), trustedKeys: operator.trustedKeys, seed, loss: scenario.loss ?? 0, applyMs: APPLY_MS })
  const first = await operator.change()
  model.accept(first.signed, first.parts)
  model.clock.runUntil(SETTLE_MS)
  const result: Delays = { delays: [], lasts: [], unheard: 0, reverts: 0, missing: 0 }
  for (let version = 2; version <= CHANGES + 1; version += 1) {
    const change = await operator.change()
    if (scenario.cutDomain !== undefined) model.setCut(scenario.cutDomain, true)
    const acceptedMs = model.clock.nowMs
    model.accept(change.signed, change.parts)
    scenario.fault?.(model)
    model.clock.runUntil(acceptedMs + BETWEEN_MS)
    const repairedMs = model.clock.nowMs
    if (scenario.cutDomain !== undefined) model.setCut(scenario.cutDomain, false)
    if (scenario.cutDomain !== undefined) model.clock.runUntil(repairedMs + BETWEEN_MS)
    if (scenario.repair !== undefined) scenario.repair(model)
    if (scenario.repair !== undefined) model.clock.runUntil(repairedMs + RECOVERY_MS)
    const unheard = scenario.repair !== undefined && model.instances.every(({ appliedMs }) => (appliedMs.get(version) ?? Infinity) > repairedMs)
    if (unheard) result.unheard += 1
    const delays = model.instances.map(({ domain, appliedMs }) => (appliedMs.get(version) ?? Infinity) - (unheard || domain === scenario.cutDomain ? repairedMs : acceptedMs))
    result.missing += delays.filter((ms) => ms === Infinity).length
    result.delays.push(...delays)
    result.lasts.push(Math.max(...delays))
  }
  result.reverts = model.instances.filter(({ applied }) => applied.some((version, index) => version <= (applied[index - 1] ?? 0))).length
  return result
}

function quantile (values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0
}

function delayRow ({ name, instances }: Scenario, { delays, lasts, unheard, reverts, missing }: Delays): Row {
  const [p99Ms, maxMs] = [Math.round(quantile(delays, 0.99)), Math.round(Math.max(...delays))]
  return {
    scenario: name,
    instances,
    changes: lasts.length,
    medianMs: Math.round(quantile(delays, 0.5)),
    p99Ms,
    lastMedianMs: Math.round(quantile(lasts, 0.5)),
    maxMs,
    unheard,
    missing,
    reverts,
    ok: p99Ms <= TARGET_MS && maxMs <= LIMIT_MS && missing === 0 && reverts === 0
  }
}

/** Load on the service and on each instance at the planned rate of changes and number of organisations. */
async function runLoad (instances: number, seed: number): Promise<Row> {
  const operator = new Operator(ORGANISATIONS, seed)
  const model = new SpreadModel({ ...sizes(instances), trustedKeys: operator.trustedKeys, seed, applyMs: APPLY_MS })
  const first = await operator.change()
  model.accept(first.signed, first.parts)
  model.clock.runUntil(SETTLE_MS)
  const started = model.instances.filter(({ board }) => board.bundle !== null).length
  model.resetCounts()
  Object.assign(operator.keyValue.counts, { reads: 0, writes: 0, writtenBytes: 0 })
  const startMs = model.clock.nowMs
  for (let turn = 0; turn < CHANGES; turn += 1) {
    const { signed, parts } = await operator.change()
    model.accept(signed, parts)
    model.clock.runUntil(model.clock.nowMs + CHANGE_PERIOD_MS)
  }
  const seconds = (model.clock.nowMs - startMs) / 1000
  const bytes = model.instances.map((instance) => instance.bytes / seconds)
  const { reads, writes } = operator.keyValue.counts
  const most = Math.round(Math.max(...bytes))
  return {
    scenario: `${CHANGES_PER_DAY} changes a day, ${ORGANISATIONS} organisations`,
    instances,
    changes: CHANGES,
    startedIn30s: started,
    readsPerSecond: Number(((model.service.reads + reads) / seconds).toFixed(2)),
    writesPerSecond: Number((writes / seconds).toFixed(2)),
    bytesPerSecondMean: Math.round(bytes.reduce((sum, value) => sum + value, 0) / bytes.length),
    bytesPerSecondMost: most,
    ok: started === instances && most <= CONTROL_BYTES_PER_SECOND
  }
}

/** Time from acceptance of a bundle to the last instance, and the load that spreading causes. */
export const bundleSpread: Measurement = {
  name: 'bundle-spread',
  summary: 'time from acceptance of a bundle to the last instance, and the load of spreading it',
  run: async ({ seed }): Promise<Outcome> => {
    const rows: Row[] = []
    for (const scenario of scenarios()) rows.push(delayRow(scenario, await runScenario(scenario, seed)))
    for (const instances of [8, 360]) rows.push(await runLoad(instances, seed))
    const slowest = Math.max(...rows.map(({ maxMs }) => Number(maxMs ?? 0)))
    return { rows, ok: rows.every(({ ok }) => ok === true), figures: { slowestMs: slowest, bytesPerSecondMost: Math.max(...rows.map((row) => Number(row.bytesPerSecondMost ?? 0))) } }
  }
}
