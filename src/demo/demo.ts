import { randomUUID } from 'node:crypto'
import meow from 'meow'
import * as z from 'zod'
import { BundleOperations } from '../admin/bundle-operations.js'
import { callJson } from '../adapters/http-call.js'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { signRoot } from '../bundles/signed-bundle.js'
import { seededRandom } from '../runtime/random.js'
import type { EngineRecord } from '../standin/engine-work.js'
import type { ServiceRun } from '../standin/plain-service.js'
import { Caller, type CallerCounts, emptyCounts } from './caller.js'
import { type Deployment, deployments, PORTS_PER_DEPLOYMENT } from './deployment.js'
import { Fleet, portOffsets } from './fleet.js'
import { freeBase } from './free-ports.js'

const cli = meow(`
  Usage
    $ npm run demo -- [--seed N] [--first-port N]
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number', default: 7 },
    firstPort: { type: 'number', default: 21000 }
  }
})
const { seed: SEED, firstPort: FIRST_PORT } = cli.flags

const RUN_MS = 12000
const CALLERS = 24
const PAUSE_MS = 200
/** Held pieces must be gone within this time after the last request. */
const RELEASE_MS = 5000

function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

function progress (text: string): void {
  process.stdout.write(`${text}\n`)
}

/** Proposes the deployment's bundle on the present version and signs it, as an operator does. */
async function publish (fleet: Fleet, version: number): Promise<void> {
  const operations = new BundleOperations({
    keyValue: new EtcdKeyValue({ baseUrl: fleet.keyValueUrl }),
    trustedKeys: [fleet.trustedKey],
    nowMs: Date.now,
    nextId: randomUUID
  })
  const note = `version ${version} of the demonstration`
  const proposal = (await operations.propose({ bundle: fleet.deployment.bundle, parent: version - 1, author: 'demo', note })).unwrap()
  const privateKey = String(fleet.keys.privateKey.export({ type: 'pkcs8', format: 'pem' }))
  const { signature } = signRoot(proposal.root, fleet.trustedKey.id, privateKey)
  const accepted = (await operations.sign({ proposal: proposal.id, signature })).unwrap()
  if (accepted.version !== version) throw new Error(`bundle ${version} was accepted as ${accepted.version}`)
}

async function runCaller (caller: Caller, random: () => number, untilMs: number): Promise<void> {
  await sleep(random() * PAUSE_MS)
  while (Date.now() < untilMs) {
    const choice = random()
    if (choice < 0.7) await caller.complete()
    else if (choice < 0.85) await caller.order()
    else await caller.stock()
    await sleep(random() * PAUSE_MS)
  }
}

async function runFaults (fleet: Fleet): Promise<void> {
  await sleep(RUN_MS * 0.25)
  progress(`${fleet.deployment.name}: entry-3 is killed`)
  fleet.kill('entry-3')
  await sleep(RUN_MS * 0.15)
  progress(`${fleet.deployment.name}: bundle 2 is signed`)
  await publish(fleet, 2)
  await sleep(RUN_MS * 0.2)
  progress(`${fleet.deployment.name}: the key-value service goes down`)
  await fleet.faults({ down: true })
  await sleep(RUN_MS * 0.25)
  await fleet.faults({ down: false })
  progress(`${fleet.deployment.name}: the key-value service is back`)
}

interface Outcome extends Record<string, number | boolean | string> {
  deployment: string
  ok: boolean
}

async function records<T> (addresses: string[]): Promise<T[]> {
  const answers = await Promise.all(addresses.map((address) => callJson({ url: `http://${address}/standin/record`, schema: z.unknown(), timeoutMs: 2000 })))
  return answers.map((answer) => answer.unwrap() as T)
}

async function heldPiecesAtEnd (fleet: Fleet): Promise<EngineRecord[]> {
  const endMs = Date.now() + RELEASE_MS
  let engines = await records<EngineRecord>(fleet.engineAddresses())
  while (engines.some((engine) => engine.heldPieces > 0) && Date.now() < endMs) {
    await sleep(200)
    engines = await records<EngineRecord>(fleet.engineAddresses())
  }
  return engines
}

const stateSchema = z.object({ bundle: z.object({ version: z.int() }).nullable() })

async function bundleVersions (fleet: Fleet, dead: number): Promise<number[]> {
  const live = fleet.entryIds.map((_, index) => index).filter((index) => index !== dead)
  return await Promise.all(live.map(async (index) => {
    const answer = await callJson({ url: `http://${fleet.operatorAddress(index)}/state`, schema: stateSchema, timeoutMs: 2000 })
    return answer.unwrap().bundle?.version ?? 0
  }))
}

async function judge (fleet: Fleet, counts: CallerCounts): Promise<Outcome> {
  const engines = await heldPiecesAtEnd(fleet)
  const services = await records<{ runs: ServiceRun[] }>(fleet.serviceAddresses())
  const runsByKey = new Map<string, number>()
  for (const run of services.flatMap((service) => service.runs)) runsByKey.set(run.key, (runsByKey.get(run.key) ?? 0) + 1)
  const sum = (pick: (engine: EngineRecord) => number): number => engines.reduce((total, engine) => total + pick(engine), 0)
  const versions = await bundleVersions(fleet, 3)
  const doubleRuns = [...runsByKey.values()].filter((runs) => runs > 1).length
  const falseRefusals = counts.refusedKeys.filter((key) => runsByKey.has(key)).length
  const lostOrders = counts.confirmedKeys.filter((key) => !runsByKey.has(key)).length
  const falseOutcomes = counts.toldSucceeded.filter((key) => !runsByKey.has(key)).length + counts.toldNotRun.filter((key) => runsByKey.has(key)).length
  const heldPieces = sum((engine) => engine.heldPieces)
  const { answered, refusedNotRun, outcomeUnknown, duplicateAnswers, wrongAnswers, modelRequests, goodput, failed } = counts
  return {
    deployment: fleet.deployment.name,
    answered,
    refusedNotRun,
    outcomeUnknown,
    failed,
    duplicateAnswers,
    doubleRuns,
    wrongAnswers,
    falseRefusals,
    lostOrders,
    falseOutcomes,
    ordersSentTwice: counts.ordersSentTwice,
    ordersWithOwnKeys: counts.ordersWithOwnKeys,
    heldPiecesAtEnd: heldPieces,
    modelRequests,
    goodput,
    wastedPrefill: sum((engine) => engine.wastedTokens) / Math.max(1, sum((engine) => engine.computedTokens)),
    bundleVersion: Math.min(...versions),
    ok: answered > 0 && versions.every((version) => version === 2) &&
      duplicateAnswers + doubleRuns + wrongAnswers + falseRefusals + lostOrders + falseOutcomes + heldPieces === 0
  }
}

async function runDeployment (deployment: Deployment, seed: number): Promise<Outcome> {
  const fleet = new Fleet(deployment)
  try {
    progress(`${deployment.name}: starting ${deployment.entries} entry instances`)
    await fleet.start()
    await publish(fleet, 1)
    await fleet.ready()
    progress(`${deployment.name}: ready, ${CALLERS} callers for ${RUN_MS / 1000} s`)
    const untilMs = Date.now() + RUN_MS
    const seedAddresses = fleet.entryIds.map((_, index) => fleet.callerAddress(index))
    const answerIds = new Set<string>()
    const callers = Array.from({ length: CALLERS }, (_, index) => {
      const random = seededRandom(seed * 1000 + index)
      return { caller: new Caller({ deployment, seedAddresses, answerIds, random }), random }
    })
    await Promise.all([runFaults(fleet), ...callers.map(({ caller, random }) => runCaller(caller, random, untilMs))])
    return await judge(fleet, callers.reduce((total, { caller }) => addCounts(total, caller.counts), emptyCounts()))
  } finally {
    fleet.stop()
  }
}

function addCounts (a: CallerCounts, b: CallerCounts): CallerCounts {
  const sum = { ...a }
  for (const [name, value] of Object.entries(b)) {
    const key = name as keyof CallerCounts
    Object.assign(sum, { [key]: typeof value === 'number' ? (a[key] as number) + value : [...(a[key] as string[]), ...value as string[]] })
  }
  return sum
}

const startedMs = Date.now()
const firstPort = await freeBase(FIRST_PORT, [...portOffsets, ...portOffsets.map((offset) => offset + PORTS_PER_DEPLOYMENT)])
// Both runs end before a failure of one is thrown, so that no process of the other is left behind.
const settled = await Promise.allSettled(deployments(firstPort).map((deployment, index) => runDeployment(deployment, SEED + index)))
const outcomes = settled.map((run) => {
  if (run.status === 'rejected') throw run.reason
  return run.value
})
console.table(outcomes)
const total = (name: string): number => outcomes.reduce((sum, outcome) => sum + Number(outcome[name]), 0)
const summary = {
  seed: SEED,
  seconds: Math.round((Date.now() - startedMs) / 1000),
  answered: total('answered'),
  refusedNotRun: total('refusedNotRun'),
  outcomeUnknown: total('outcomeUnknown'),
  failed: total('failed'),
  duplicateAnswers: total('duplicateAnswers'),
  doubleRuns: total('doubleRuns'),
  wrongAnswers: total('wrongAnswers'),
  falseRefusals: total('falseRefusals'),
  lostOrders: total('lostOrders'),
  falseOutcomes: total('falseOutcomes'),
  ordersSentTwice: total('ordersSentTwice'),
  ordersWithOwnKeys: total('ordersWithOwnKeys'),
  heldPiecesAtEnd: total('heldPiecesAtEnd'),
  goodput: total('goodput') / Math.max(1, total('modelRequests')),
  wastedPrefill: Math.max(...outcomes.map((outcome) => Number(outcome.wastedPrefill))),
  ok: outcomes.every((outcome) => outcome.ok)
}
process.stdout.write(`${JSON.stringify(summary)}\n`)
process.exitCode = summary.ok ? 0 : 1
