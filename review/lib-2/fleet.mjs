// A small deployment for the cases of this review: real gateway processes with stand-ins for the store, the servers and the links to the store.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer } from 'node:http'
import { connect, createServer as createNetServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')

/** Time for which the processes get to start before a case gives up, in milliseconds. */
const START_TIMEOUT_MS = 30_000

export const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Waits until the condition holds; false if it does not in time. */
export async function until (condition, timeoutMs, stepMs = 20) {
  const endMs = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > endMs) return false
    await delay(stepMs)
  }
  return true
}

function listen (server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server.address().port))
  })
}

/** Ports that were free at one address just now. */
async function freePorts (host, count) {
  const servers = Array.from({ length: count }, () => createNetServer())
  const ports = []
  for (const server of servers) ports.push(await listen(server, host, 0))
  for (const server of servers) await new Promise((resolve) => server.close(resolve))
  return ports
}

function readBody (request) {
  return new Promise((resolve) => {
    const parts = []
    request.on('data', (part) => parts.push(part))
    request.on('end', () => resolve(Buffer.concat(parts).toString('utf8')))
    request.on('error', () => resolve(''))
  })
}

/** The platform's store: items with revisions, conditional writes and watches. */
export class Store {
  items = new Map()
  #changes = []
  #revision = 1
  #waiting = new Set()
  server = createHttpServer((request, response) => { this.#answer(request, response).catch(() => response.destroy()) })

  constructor () {
    this.server.keepAliveTimeout = 60_000
  }

  /** Writes an item; returns the moment of the acknowledgement, in milliseconds of the steady clock. */
  put (key, value) {
    return this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  remove (key) {
    if (!this.items.delete(key)) return performance.now()
    this.#revision += 1
    return this.#note({ Key: key, Revision: this.#revision, Deleted: true })
  }

  #write (key, value) {
    this.#revision += 1
    const item = { Key: key, Value: value, Revision: this.#revision, Created: this.items.get(key)?.Created ?? this.#revision, Lease: 0 }
    this.items.set(key, item)
    return this.#note(item)
  }

  #note (change) {
    this.#changes.push(change)
    for (const wake of [...this.#waiting]) wake()
    return performance.now()
  }

  async #answer (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readBody(request)
    const send = (status, value) => {
      const text = JSON.stringify(value)
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }).end(text)
    }
    const prefix = url.searchParams.get('PathPrefix') ?? ''
    if (url.pathname === '/v1/kv-range') {
      const after = url.searchParams.get('after') ?? ''
      const items = [...this.items.values()].filter(({ Key: key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.Key < b.Key ? -1 : 1)
      send(200, { items, HasMore: false, At: this.#revision })
    } else if (url.pathname === '/v1/kv-watch') {
      const after = Number(url.searchParams.get('after'))
      const since = () => this.#changes.filter(({ Key: key, Revision: revision }) => revision > after && key.startsWith(prefix))
      if (since().length === 0) await this.#nextChange(Number(url.searchParams.get('WaitMs')))
      send(200, { events: since(), At: this.#revision })
    } else if (url.pathname === '/v1/kv-txn') {
      const { Precondition: conditions = [], Writes: writes = [], Remove: removals = [] } = JSON.parse(body)
      if (conditions.some(({ Key: key, Revision: revision }) => (this.items.get(key)?.Revision ?? 0) !== revision)) {
        send(412, { items: conditions.flatMap(({ Key: key }) => this.items.get(key) ?? []) })
        return
      }
      for (const { Key: key, Value: value } of writes) this.#write(key, value)
      for (const key of removals) this.remove(key)
      send(200, { Revision: this.#revision })
    } else send(404, {})
  }

  #nextChange (waitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        this.#waiting.delete(wake)
        clearTimeout(timer)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiting.add(wake)
    })
  }
}

/** The link from one instance to the store. While it is silent, no byte passes in either direction, and new connections get no answer. */
export class Link {
  /** When the instance last sent something, in milliseconds of the steady clock. */
  usedMs = -Infinity
  #silent = false
  #sockets = new Set()
  server = createNetServer((near) => this.#connect(near))

  constructor (target) {
    this.target = target
  }

  setSilent (silent) {
    this.#silent = silent
    // What was in transit is lost with its connections; the platform's clients notice by their own timeouts.
    if (!silent) for (const socket of this.#sockets) socket.destroy()
  }

  #connect (near) {
    const far = connect(this.target)
    near.on('data', () => { this.usedMs = performance.now() })
    for (const [socket, other] of [[near, far], [far, near]]) {
      this.#sockets.add(socket)
      socket.on('data', (bytes) => { if (!this.#silent) other.write(bytes) })
      socket.on('error', () => {})
      socket.on('close', () => {
        this.#sockets.delete(socket)
        if (!this.#silent || socket === near) other.destroy()
      })
    }
  }
}

/** A server of a plain service. It runs each request for `workMs`, which may depend on the request, and answers with `body`. */
export class Server {
  runs = []
  /** Whether it says in its answers that it leaves. */
  isLeaving = false
  #sockets = new Set()

  constructor ({ id, ip, port, zone, service = 'plain', workMs = 30, body = (id) => `answer to ${id}`, onRun = () => {} }) {
    Object.assign(this, { id, ip, port, zone, service, workMs, body, onRun, born: Date.now() })
    this.http = createHttpServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.http.keepAliveTimeout = 20_000
    this.http.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  entry (state = 'ready') {
    return { Service: this.service, Address: `${this.ip}:${this.port}`, Zone: this.zone, Version: 'v1', Slots: 16, State: state, ColdRemainingMs: 0, Sequence: 1, born: this.born }
  }

  async #serve (request, response) {
    await readBody(request)
    if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 }).end()
      return
    }
    await this.serve(request, response)
  }

  recordRun (id, request) {
    const run = { id, server: this.id, from: request.socket.remoteAddress, atMs: performance.now() }
    this.runs.push(run)
    this.onRun(run)
  }

  async serve (request, response) {
    const id = String(request.headers['x-request-id'] ?? '')
    this.recordRun(id, request)
    await delay(typeof this.workMs === 'function' ? this.workMs(request) : this.workMs)
    const body = Buffer.from(this.body(id, request))
    response.writeHead(200, { ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}), 'X-Request-Id': id, 'X-Response-Signature': `signed ${id}`, 'Content-Type': 'text/plain', 'Content-Length': body.length }).end(body)
  }

  /** Ends at once, as a process does: its listener and its connections close. */
  exit () {
    this.http.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

/** Events of one stream, and the time between them in milliseconds. */
const STREAM_EVENTS = 65
const EVENT_MS = 200

/** A model runner that reads prompts itself and streams for 13 seconds; its answers to other calls are those of a runner without orders. */
export class Runner extends Server {
  entry (state = 'ready') {
    return { ...super.entry(state), Slots: 64, Stage: 'decode', Models: [{ Name: 'm', Version: 1, Adapters: [] }] }
  }

  async serve (request, response) {
    const id = String(request.headers['x-request-id'] ?? '')
    if (request.url === '/v1/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ Stage: 'decode', Models: [], Busy: false, Sequence: 0, Queued: 0, Active: 0, KvCacheUsed: 0, KvCacheTotal: 107_754, Handles: 0 }))
      return
    }
    this.recordRun(id, request)
    response.writeHead(200, { 'X-Request-Id': id, 'X-Response-Signature': `signed ${id}`, 'Content-Type': 'text/event-stream' })
    for (let event = 1; event <= STREAM_EVENTS && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: token ${event} of ${id}\n\n`)
      await delay(EVENT_MS)
    }
    response.end()
  }
}

/** Instances of the gateway, their store and their servers on loopback addresses of their own. */
export class Fleet {
  instances = []
  servers = []
  store = new Store()
  #children = new Set()
  #closers = []

  constructor ({ folder }) {
    this.recordFile = join(folder, 'record.txt')
    writeFileSync(this.recordFile, '')
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    const part = () => 1 + Math.floor(Math.random() * 250)
    this.net = `127.${part()}.${part()}`
    this.startedMs = performance.now()
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { this.close().finally(() => process.exit(2)) })
  }

  record (text) {
    appendFileSync(this.recordFile, `${((performance.now() - this.startedMs) / 1000).toFixed(3).padStart(8)} ${text}\n`)
  }

  async open () {
    const [callers, readiness, directory, peers, metrics, store, server] = await freePorts(`${this.net}.1`, 7)
    this.ports = { callers, readiness, directory, peers, metrics, store, server }
    await this.#open(this.store.server, `${this.net}.1`, store)
  }

  async #open (server, host, port) {
    await listen(server, host, port)
    this.#closers.push(() => {
      server.close()
      server.closeAllConnections?.()
    })
  }

  async addServer ({ kind: Kind = Server, ...options }) {
    const ip = `${this.net}.${100 + this.servers.length}`
    const server = new Kind({ ip, port: this.ports.server, ...options })
    await this.#open(server.http, ip, server.port)
    this.servers.push(server)
    this.store.put(`servers/${server.id}`, server.entry())
    return server
  }

  /** Starts an instance with the run line of the deploy file. */
  async addInstance ({ zone, memoryMb = 200, drainMs = 2000, graceS = 8, more = {} }) {
    const ip = `${this.net}.${10 + this.instances.length}`
    const link = new Link({ host: `${this.net}.1`, port: this.ports.store })
    await this.#open(link.server, ip, this.ports.store)
    const { callers, readiness, directory, peers, metrics, store } = this.ports
    const settings = {
      id: `frontend-${zone}-${this.instances.length + 1}`,
      ip,
      failureDomain: zone,
      listeners: { callers: `${ip}:${callers}`, readiness: `${ip}:${readiness}`, directory: `${ip}:${directory}`, peerPort: peers, metricsPort: metrics },
      storeAddress: `${ip}:${store}`,
      seeds: [10, 11, 12].map((last) => `${this.net}.${last}`),
      processor: { share: 0.675, speed: 1 },
      memoryMb,
      orderTurnMs: 3000,
      drainMs,
      graceS,
      repeats: { ratio: 0.2, slack: 58, windowS: 10 },
      quota: {},
      ...more
    }
    const file = join(this.folder, `${settings.id}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const instance = { ip, zone, id: settings.id, link, file, log: '', exit: null }
    this.instances.push(instance)
    this.spawn(instance)
    return instance
  }

  spawn (instance) {
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
    const [command, ...words] = run.split(' ')
    const child = spawn(command, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, DAISYBARROW_CONFIG: instance.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#children.add(child)
    instance.process = child
    instance.exit = null
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (text) => { instance.log += text })
    child.on('exit', (code, signal) => {
      this.#children.delete(child)
      instance.exit = { code, signal }
      this.record(`process of ${instance.id} has ended: code ${code}, signal ${signal}`)
    })
  }

  async isReady ({ ip }) {
    const { status } = await ask({ host: ip, port: this.ports.readiness, path: '/v1/readiness' })
    return status === 200
  }

  /** Waits until all instances say that they are ready. */
  async ready () {
    for (const instance of this.instances) if (!await until(() => this.isReady(instance), START_TIMEOUT_MS, 100)) throw new Error(`${instance.id} is not ready`)
  }

  /** Ends all processes and listeners that this fleet has started. */
  async close () {
    for (const child of this.#children) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await until(() => this.#children.size === 0, 5000)
    for (const close of this.#closers) close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Sends one request on a connection of its own. Returns the status, headers and body, or the error as `failed`. */
export function ask ({ host, port, method = 'GET', path = '/', headers = {}, body = '', timeoutMs = 3000 }) {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    let received = ''
    const timer = setTimeout(() => finish('timeout'), timeoutMs)
    const finish = (failed) => {
      clearTimeout(timer)
      socket.destroy()
      const [head = '', ...rest] = received.split('\r\n\r\n')
      const text = rest.join('\r\n\r\n')
      const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0)
      const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? NaN)
      const complete = status !== 0 && (/^transfer-encoding: chunked/im.test(head) ? text.endsWith('0\r\n\r\n') : Buffer.byteLength(text, 'latin1') === length)
      resolve({ status, head, body: text, complete, ...(complete ? {} : { failed }) })
    }
    socket.setEncoding('latin1')
    socket.on('data', (text) => { received += text })
    socket.on('error', (error) => finish(error.code ?? 'error'))
    socket.on('close', () => finish('closed'))
    const lines = Object.entries({ Host: 'shop.example', Connection: 'close', ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }), ...headers }).map(([name, value]) => `${name}: ${value}\r\n`)
    socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`)
  })
}

/** A configuration with one idempotent and one other route to the plain service. */
export function configuration (version, { limits = {}, more = {}, service = 'plain', routes = [], services = [] } = {}) {
  const route = (name, kind, service) => ({ Name: name, Host: 'shop.example', PathPrefix: `/${name}/`, Kind: kind, Service: service, TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Attempts: 2, ...more })
  return {
    Version: version,
    Routes: [route('check', 'idempotent', 'plain'), route('order', 'non_idempotent', service), ...routes],
    Services: [{ Name: 'plain', MaxConnections: 110 }, ...services],
    Limits: { HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, ...limits }
  }
}

/** The route and the service of a model, for a configuration. */
export const streamRoute = { Name: 'tone', Host: 'shop.example', PathPrefix: '/tone/', Kind: 'streaming', Service: 'model', TimeoutMs: 14000, TargetLatencyMs: 900, TargetGapMs: 300, Priority: 1, Attempts: 1, Sticky: true }
export const modelService = { Name: 'model', MaxConnections: 370, Engine: { Slots: 64, KvCacheTokens: 107_754, KvTokenBytes: 163_840, Stride: 1, RoleSwitchS: 6 } }
