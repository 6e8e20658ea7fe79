import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { request } from 'undici'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { BundleOperations } from '../admin/bundle-operations.js'
import { signRoot } from '../bundles/signed-bundle.js'
import { type Deployment, deployments, organisationKey } from '../demo/deployment.js'
import { Fleet, portOffsets } from '../demo/fleet.js'
import { freeBase } from '../demo/free-ports.js'
import type { Measurement, Row } from './measurement.js'

const FIRST_PORT = 15000
const SERIAL_CALLS = 300
const PARALLEL_CALLS = 4000
const COMPLETIONS = 200
const WORKERS = 32
const OUTPUT_TOKENS = 64
const LEARN_MS = 2000
const UNLIMITED = 1_000_000
const IDLE_MS = 4000
const MICROS_PER_MS = 1000
const MEDIAN = 50
const TAIL = 95

/** Latency added by one entry instance, and what it serves for one second of processor time. */
export const overhead: Measurement = {
  name: 'overhead',
  summary: 'latency of calls through an entry instance against direct calls, and requests for each second of processor time',
  run: async () => {
    const fleet = new Fleet(smallDeployment(await freeBase(FIRST_PORT, portOffsets)))
    try {
      await fleet.start()
      await publish(fleet)
      await fleet.ready()
      await sleep(LEARN_MS)
      const latency = await compareLatency(fleet)
      const idle = await idleCost(fleet)
      const calls = await costOf(fleet, 'call', { count: PARALLEL_CALLS, idle }, () => stock(fleet.callerAddress(0)))
      const completions = await costOf(fleet, 'completion', { count: COMPLETIONS, idle }, () => complete(fleet))
      const rows = [latency, { what: 'idle', failed: 0, cpuSeconds: round(idle) }, calls, completions]
      const tokensPerCpuSecond = Math.round(Number(completions.perCpuSecond) * OUTPUT_TOKENS)
      return { rows, figures: { idleCore: round(idle), latencyRatio: latency.ratio, latencyTailRatio: latency.tailRatio, callsPerCpuSecond: calls.perCpuSecond, completionsPerCpuSecond: completions.perCpuSecond, tokensPerCpuSecond }, ok: rows.every((row) => row.failed === 0) }
    } finally {
      fleet.stop()
    }
  }
}

function smallDeployment (firstPort: number): Deployment {
  const [base] = deployments(firstPort)
  if (base === undefined) throw new RangeError('no deployment')
  // The limits of the demonstration's organisation are below what one instance serves.
  const organisations = base.bundle.organisations.map((organisation) => ({ ...organisation, requestsPerSecond: UNLIMITED }))
  return { ...base, entries: 1, modelRunners: 2, plainRunners: 1, bundle: { ...base.bundle, organisations } }
}

async function publish (fleet: Fleet): Promise<void> {
  const keyValue = new EtcdKeyValue({ baseUrl: fleet.keyValueUrl })
  const operations = new BundleOperations({ keyValue, trustedKeys: [fleet.trustedKey], nowMs: Date.now, nextId: randomUUID })
  const proposal = (await operations.propose({ bundle: fleet.deployment.bundle, parent: 0, author: 'measure', note: '' })).unwrap()
  const privateKey = String(fleet.keys.privateKey.export({ type: 'pkcs8', format: 'pem' }))
  const { signature } = signRoot(proposal.root, fleet.trustedKey.id, privateKey)
  ;(await operations.sign({ proposal: proposal.id, signature })).unwrap()
}

const headers = { authorization: `Bearer ${organisationKey('bellworks')}`, 'content-type': 'application/json' }

async function stock (address: string): Promise<boolean> {
  const answer = await request(`http://${address}/stock`, { headers })
  await answer.body.dump()
  return answer.statusCode === 200
}

async function complete (fleet: Fleet): Promise<boolean> {
  const body = JSON.stringify({ model: fleet.deployment.modelService, prompt: `${randomUUID()} tuning sheet `.repeat(40), max_tokens: OUTPUT_TOKENS, stream: true })
  const answer = await request(`http://${fleet.callerAddress(0)}/v1/completions`, { method: 'POST', headers, body })
  const text = await answer.body.text()
  return answer.statusCode === 200 && text.includes('[DONE]')
}

/** Direct and routed calls take turns, so that both see the same state of the machine. */
async function compareLatency (fleet: Fleet): Promise<Row> {
  const direct = build()
  const routed = build()
  let failed = 0
  for (let call = 0; call < SERIAL_CALLS; call += 1) {
    for (const [address, times] of [[fleet.serviceAddresses()[0] ?? '', direct], [fleet.callerAddress(0), routed]] as const) {
      const started = performance.now()
      if (!await stock(address)) failed += 1
      times.recordValue(Math.round((performance.now() - started) * MICROS_PER_MS))
    }
  }
  const ratio = round(percentileMs(routed, MEDIAN) / percentileMs(direct, MEDIAN))
  const tailRatio = round(percentileMs(routed, TAIL) / percentileMs(direct, TAIL))
  return { what: 'latency', failed, directMs: round(percentileMs(direct, MEDIAN)), routedMs: round(percentileMs(routed, MEDIAN)), ratio, tailRatio }
}

function percentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
}

/** Processor time of an instance without requests, for each second. */
async function idleCost (fleet: Fleet): Promise<number> {
  const before = await cpuSeconds(fleet)
  await sleep(IDLE_MS)
  return (await cpuSeconds(fleet) - before) / IDLE_MS * 1000
}

/** The cost of requests, without what the instance spends anyway in that time. */
async function costOf (fleet: Fleet, what: string, options: { count: number, idle: number }, run: () => Promise<boolean>): Promise<Row> {
  const { count, idle } = options
  const startedMs = performance.now()
  const before = await cpuSeconds(fleet)
  let started = 0
  let failed = 0
  const worker = async (): Promise<void> => {
    while (started < count) {
      started += 1
      if (!await run()) failed += 1
    }
  }
  await Promise.all(Array.from({ length: WORKERS }, worker))
  const used = await cpuSeconds(fleet) - before - idle * (performance.now() - startedMs) / 1000
  return { what, failed, count, cpuSeconds: round(used), perCpuSecond: Math.round(count / used) }
}

async function cpuSeconds (fleet: Fleet): Promise<number> {
  const answer = await request(`http://${fleet.operatorAddress(0)}/metrics`)
  const line = (await answer.body.text()).split('\n').find((text) => text.startsWith('process_cpu_seconds_total '))
  return Number(line?.split(' ')[1])
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
