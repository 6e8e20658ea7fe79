import { createServer } from 'node:http'

const BODY = 'x'.repeat(800)

/** Stand-in for a runner of a plain service or a model service. It reports each run, and how each run ended, to the record. */
export class Runner {
  #options
  #sockets = new Set()
  #active = new Map()
  #ordersAccepted = 0
  /** Ids of requests whose answers have no length. */
  unframed = new Set()

  /** `stage` is `prefill`, `decode` or null for a plain service; `workMs` is the time of a plain request or between two events. */
  constructor (options) {
    this.#options = { stage: null, workMs: 40, events: () => 70, record: () => {}, ...options }
    this.server = createServer((request, response) => {
      const chunks = []
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => this.#serve(request, Buffer.concat(chunks), response))
    })
    this.server.keepAliveTimeout = 10_000
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  get id () {
    return this.#options.id
  }

  get stage () {
    return this.#options.stage
  }

  /** Ends like a process that exits: all its connections close at once. */
  exit () {
    const cut = [...this.#active.keys()]
    this.server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    return cut
  }

  #serve (request, body, response) {
    const { id, stage, record } = this.#options
    const request_ = String(request.headers['x-request-id'] ?? '')
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== id) return finish(response, 421, { 'X-Request-Id': request_, 'X-Instance-Id': id }, '')
    if (request.url === '/v1/report') return this.#report(response)
    if (request.url === '/v1/order') return this.#order(JSON.parse(body.toString('utf8')), response)
    if (request.url.startsWith('/v1/kv-handle/')) return finish(response, 200, {}, '')
    if (request.headers['x-stage'] === 'prefill') {
      if (stage !== 'prefill') return finish(response, 421, { 'X-Request-Id': request_, 'X-Not-Executed': '1' }, '')
      return finish(response, 200, { 'X-Request-Id': request_, 'Content-Type': 'application/json' }, JSON.stringify({ Handle: `${id}-${request_}`, Tokens: 100, Version: 1 }))
    }
    if (stage === 'prefill') return finish(response, 421, { 'X-Request-Id': request_, 'X-Not-Executed': '1' }, '')
    record('run', { request: request_, runner: id })
    this.#active.set(request_, response)
    response.on('close', () => {
      this.#active.delete(request_)
      record(response.writableFinished ? 'ran' : 'cut', { request: request_, runner: id })
    })
    if (stage === null) {
      const timer = setTimeout(() => finish(response, 200, { 'X-Request-Id': request_, 'X-Response-Signature': `sig-${request_}` }, BODY), this.#options.workMs)
      response.on('close', () => clearTimeout(timer))
    } else this.#stream(request_, Number(request.headers['last-event-id'] ?? 0), response)
  }

  #report (response) {
    const { stage } = this.#options
    finish(response, 200, { 'Content-Type': 'application/json' }, JSON.stringify({ Stage: stage, Models: [{ Name: 'm', Version: 1, Adapters: [] }], Busy: false, Sequence: this.#ordersAccepted, Queued: 0, Active: this.#active.size, KvCacheUsed: 0, KvCacheTotal: 100_000, Handles: 0 }))
  }

  #order (order, response) {
    const { id, record, onOrder = () => {} } = this.#options
    record('order', { runner: id, holder: order.Holder, number: order.FencingToken, stage: order.Stage, precondition: order.Precondition, expected: this.#ordersAccepted })
    if (order.Precondition !== undefined && order.Precondition !== this.#ordersAccepted) return finish(response, 409, {}, '')
    this.#ordersAccepted += 1
    this.#options.stage = order.Stage
    onOrder(order)
    finish(response, 202, {}, '')
  }

  #stream (request, after, response) {
    const headers = { 'X-Request-Id': request, 'X-Response-Signature': `sig-${request}`, 'Content-Type': 'text/event-stream' }
    if (this.unframed.has(request)) {
      // The answer has no length and ends with its connection.
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, headers)
    const events = this.#options.events(request)
    let event = after
    const timer = setInterval(() => {
      event += 1
      response.write(`id: ${event}\ndata: ${request} ${event}\n\n`)
      if (event < events) return
      clearInterval(timer)
      response.end()
    }, this.#options.workMs)
    response.on('close', () => clearInterval(timer))
  }
}

function finish (response, status, headers, text) {
  if (response.destroyed) return
  response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}
