import { createServer } from 'node:http'

const PAGE_ITEMS = 500

/** Stand-in for the platform's store: items with revisions, conditional writes and watches. Leases are left out, as the router uses none. */
export class Store {
  #items = new Map()
  #changes = []
  #waiting = new Set()
  #revision = 1

  constructor () {
    this.server = createServer((request, response) => {
      const chunks = []
      request.on('data', (chunk) => chunks.push(chunk))
      request.on('end', () => this.#answer(request, Buffer.concat(chunks), response))
    })
    this.server.keepAliveTimeout = 120_000
  }

  get revision () {
    return this.#revision
  }

  put (key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'))
  }

  remove (key) {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#note({ Key: key, Revision: this.#revision, Deleted: true })
  }

  keys (prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix))
  }

  #write (key, text) {
    this.#revision += 1
    const item = { Key: key, Value: text, Revision: this.#revision, Created: this.#items.get(key)?.Created ?? this.#revision, Lease: 0 }
    this.#items.set(key, item)
    this.#note(item)
  }

  #note (change) {
    this.#changes.push(change)
    for (const wake of [...this.#waiting]) wake()
  }

  #answer (request, body, response) {
    const url = new URL(request.url, 'http://store')
    const handlers = {
      'GET /v1/kv-key': () => this.#key(url.searchParams, response),
      'GET /v1/kv-range': () => this.#range(url.searchParams, response),
      'GET /v1/kv-watch': () => this.#watch(url.searchParams, response),
      'POST /v1/kv-txn': () => this.#transaction(JSON.parse(body.toString('utf8')), response)
    }
    const handler = handlers[`${request.method} ${url.pathname}`]
    if (handler === undefined) send(response, 404, { Error: 'no such call' })
    else handler()
  }

  #key (query, response) {
    const item = this.#items.get(query.get('Key'))
    if (item === undefined) send(response, 404, { At: this.#revision })
    else send(response, 200, { ...item, At: this.#revision })
  }

  #range (query, response) {
    const prefix = query.get('PathPrefix') ?? ''
    const after = query.get('after') ?? ''
    const items = [...this.#items.values()].filter(({ Key: key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.Key < b.Key ? -1 : 1)
    send(response, 200, { items: items.slice(0, PAGE_ITEMS), HasMore: items.length > PAGE_ITEMS, At: this.#revision })
  }

  #watch (query, response) {
    const prefix = query.get('PathPrefix') ?? ''
    const after = Number(query.get('after'))
    const events = () => this.#changes.filter(({ Key: key, Revision: revision }) => revision > after && key.startsWith(prefix))
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(wake)
      send(response, 200, { events: events(), At: this.#revision })
    }
    const wake = () => { if (events().length > 0) finish() }
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('WaitMs') ?? 0)))
    response.on('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(wake)
    })
    this.#waiting.add(wake)
    wake()
  }

  #transaction ({ Precondition: rows = [], Writes: writes = [], Remove: keys = [] }, response) {
    const failed = rows.filter(({ Key: key, Revision: revision }) => (this.#items.get(key)?.Revision ?? 0) !== revision)
    if (failed.length > 0) return send(response, 412, { items: rows.flatMap(({ Key: key }) => this.#items.get(key) ?? []) })
    if ([...writes.map(({ Key: key }) => key), ...keys].some((key) => key.startsWith('op/') || key.startsWith('servers/'))) return send(response, 403, { Error: 'not writable' })
    for (const { Key: key, Value: value } of writes) this.#write(key, value)
    for (const key of keys) this.remove(key)
    send(response, 200, { Revision: this.#revision })
  }
}

function send (response, status, value) {
  if (response.destroyed) return
  const text = JSON.stringify(value)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
  response.end(text)
}
