import { spawn } from 'node:child_process'
import { closeSync, createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync, writeSync } from 'node:fs'
import { createServer } from 'node:net'
import { request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'

export const ROOT = resolve(import.meta.dirname, '../..')

export const HOST = 'desk.example'

/** Exit codes of a case. */
export const Exit = { Held: 0, Broken: 1, NotRun: 2 }

/** Bounds of the site gbb-bells. */
export const BOUNDS = { ContactMs: 3000, DrainMs: 2000, GraceS: 8, ConfigApplyMs: 2000, LeaseMs: 3000, RetryBudgetRatio: 0.2, RetryBudgetSlack: 58, BudgetWindowS: 10 }

export function delay (ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

// An error of the case itself says nothing about the rule.
process.on('uncaughtException', (error) => {
  process.stderr.write(`${error.stack}\n`)
  process.exit(Exit.NotRun)
})

// The processes of a fleet end with the case, also if it is stopped.
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(Exit.NotRun))

/** Lines of what was sent, answered and run, with the time since the start in milliseconds. */
export class Record {
  #file
  #startMs = performance.now()

  constructor (file) {
    this.#file = openSync(file, 'w')
  }

  now () {
    return Math.round(performance.now() - this.#startMs)
  }

  line (event, fields = {}) {
    if (this.#file === null) return
    writeSync(this.#file, `${String(this.now()).padStart(6)} ${event} ${Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(' ')}\n`)
  }

  close () {
    closeSync(this.#file)
    this.#file = null
  }
}

/** A port that is free on the given addresses. */
async function freePort (ips) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const port = 20_000 + Math.floor(Math.random() * 10_000)
    if ((await Promise.all(ips.map((ip) => isFree(ip, port)))).every(Boolean)) return port
  }
  throw new Error('no free port')
}

function isFree (ip, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

export function listen (server, ip, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, resolve)
  })
}

/** The router's processes, each at a loopback address of its own, and what is around them. */
export class Fleet {
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  gateways = []
  ports = {}
  #record
  #net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`

  constructor ({ record }) {
    this.#record = record
    process.once('exit', () => this.stop())
  }

  ip (last) {
    return `${this.#net}.${last}`
  }

  async choosePorts () {
    const ips = [this.ip(1), this.ip(11), this.ip(101)]
    for (const name of ['callers', 'readiness', 'directory', 'peers', 'metrics', 'store', 'runner']) {
      do this.ports[name] = await freePort(ips)
      while (Object.entries(this.ports).some(([other, port]) => other !== name && port === this.ports[name]))
    }
  }

  /** Starts one gateway with the command of the deploy file; `storeAddress` is where it reaches the store. */
  start (number, { storeAddress, zone = 'mu-north-a', more = {} }) {
    const ip = this.ip(10 + number)
    const settings = {
      id: `frontend-${zone}-${number}`,
      ip,
      failureDomain: zone,
      listeners: { callers: `${ip}:${this.ports.callers}`, readiness: `${ip}:${this.ports.readiness}`, directory: `${ip}:${this.ports.directory}`, peerPort: this.ports.peers, metricsPort: this.ports.metrics },
      storeAddress,
      seeds: [],
      processor: { share: 0.675, speed: 1 },
      memoryMb: 200,
      orderTurnMs: BOUNDS.LeaseMs,
      drainMs: BOUNDS.DrainMs,
      graceS: BOUNDS.GraceS,
      repeats: { ratio: BOUNDS.RetryBudgetRatio, slack: BOUNDS.RetryBudgetSlack, windowS: BOUNDS.BudgetWindowS },
      ...more
    }
    const settingsFile = join(this.folder, `${number}.json`)
    writeFileSync(settingsFile, JSON.stringify(settings))
    const gateway = { number, ip, settings, settingsFile, storeAddress, callers: settings.listeners.callers, readiness: settings.listeners.readiness }
    this.gateways[number] = gateway
    this.spawn(gateway)
    return gateway
  }

  spawn (gateway) {
    const { PATH, HOME, LANG } = process.env
    const [command, ...args] = runCommand()
    const child = spawn(command, args, { cwd: ROOT, env: { PATH, HOME, LANG: LANG ?? 'C', DAISYBARROW_CONFIG: gateway.settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${gateway.number}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.on('exit', (code, signal) => this.#record.line('exit', { gateway: gateway.number, code, signal }))
    gateway.child = child
    this.#record.line('started', { gateway: gateway.number, pid: child.pid })
  }

  log (number) {
    return readFileSync(join(this.folder, `${number}.log`), 'utf8')
  }

  /** Waits until all gateways answer 200 at their readiness addresses. */
  async ready (timeoutMs = 15_000) {
    const endMs = performance.now() + timeoutMs
    for (const gateway of this.gateways.filter(Boolean)) {
      while (await status(gateway.readiness, '/v1/readiness') !== 200) {
        if (performance.now() > endMs) throw new Error(`gateway ${gateway.number} is not ready`)
        await delay(100)
      }
    }
  }

  /** Ends the processes that this fleet started. */
  stop () {
    for (const gateway of this.gateways.filter(Boolean)) {
      gateway.child.kill('SIGCONT')
      gateway.child.kill('SIGKILL')
    }
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}

/** The words of `run` in the deploy file. */
function runCommand () {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const run = /^run = "(.*)"$/m.exec(text)?.[1]
  if (run === undefined) throw new Error('no run line in deploy/system.toml')
  return run.split(' ')
}

export function status (address, path) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, path, timeout: 1000, agent: false }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
      response.on('error', () => resolve(null))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(null))
    request.end()
  })
}

/** A configuration as the operator writes it: the services and kinds of requests of gbb-bells. */
export function configuration (version, { more = [], timeoutMs = 14_000, orderTimeoutMs = 1000, resumable = false } = {}) {
  const route = (prefix, kind, service, rest) => ({ Name: prefix, Host: HOST, PathPrefix: prefix, Kind: kind, Service: service, TimeoutMs: orderTimeoutMs, TargetLatencyMs: 150, Priority: 2, Attempts: 1, ...rest })
  return {
    Version: version,
    Routes: [
      route('/tone/', 'streaming', 'pattern-llm', { TimeoutMs: timeoutMs, TargetLatencyMs: 900, TargetGapMs: 300, Priority: 1, Attempts: resumable ? 2 : 1, Resumable: resumable, Sticky: true }),
      route('/order/', 'non_idempotent', 'order-desk', {}),
      route('/stock/', 'idempotent', 'order-desk', { Attempts: 2 }),
      ...more.map(({ prefix, kind, service, ...rest }) => route(prefix, kind, service, rest))
    ],
    Services: [
      { Name: 'pattern-llm', MaxConnections: 370, HealthPath: '/health', Engine: { Slots: 64, KvCacheTokens: 107_754, Stride: 1, RoleSwitchS: 6 } },
      { Name: 'order-desk', MaxConnections: 110, HealthPath: '/health' }
    ],
    Limits: { HeaderBytes: 16_384, BodyBytes: 4_194_304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15_000 }
  }
}

/** The entry of a runner in the store. */
export function entry ({ service, address, stage, state = 'ready', slots = 6, born = Date.now() }) {
  return { Service: service, Address: address, Zone: 'mu-north-a', Version: 1, State: state, Slots: slots, ColdRemainingMs: 0, Sequence: 1, born, ...(stage === null ? {} : { Stage: stage, Models: [{ Name: 'm', Version: 1, Adapters: [] }] }) }
}
