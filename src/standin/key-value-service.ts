import type { ServerResponse } from 'node:http'
import { type JsonCall, type JsonHandlers, StatusError } from './json-server.js'
import { KeyValueStore, type StoredKey } from './key-value-store.js'

interface Compare {
  key: string
  target: 'CREATE' | 'MOD'
  create_revision?: string
  mod_revision?: string
}

interface RangeRequest {
  key: string
  range_end?: string
  keys_only?: boolean
  limit?: string
}

interface Operation {
  requestPut?: { key: string, value: string, lease?: string }
  requestRange?: RangeRequest
  requestDeleteRange?: { key: string }
  requestTxn?: Transaction
}

interface Transaction {
  compare?: Compare[]
  success?: Operation[]
  failure?: Operation[]
}

/** Limits of etcd as delivered. */
const MAX_OPERATIONS = 128
const MAX_VALUE_BYTES = 1024 * 1024

/** Faults that a test or a demonstration can switch on. */
interface Faults {
  down: boolean
  delayMs: number
  /** Share of writes that take effect while their reply is lost. */
  lostReplies: number
}

/** Stand-in for the platform's key-value service: the part of the etcd v3 JSON protocol that daisybarrow uses. */
export class KeyValueStandin {
  readonly #store = new KeyValueStore()
  readonly #faults: Faults = { down: false, delayMs: 0, lostReplies: 0 }
  readonly #watchers = new Set<ServerResponse>()
  readonly #counts = { reads: 0, writes: 0, watches: 0, leases: 0 }

  get handlers (): JsonHandlers {
    return {
      'POST /v3/kv/range': async (call) => await this.#read(call),
      'POST /v3/kv/txn': async (call) => await this.#write(call),
      'POST /v3/kv/put': async (call) => await this.#putOne(call),
      'POST /v3/lease/grant': async ({ body }) => await this.#grant(body),
      'POST /v3/lease/keepalive': async ({ body }) => await this.#keep(body),
      'POST /v3/lease/revoke': async ({ body }) => await this.#revoke(body),
      'POST /v3/watch': async (call) => await this.#watch(call),
      'POST /standin/faults': ({ body }) => this.#setFaults(body),
      'GET /standin/record': () => ({ ...this.#counts, revision: this.#store.revision })
    }
  }

  #setFaults (faults: Record<string, unknown>): Faults {
    Object.assign(this.#faults, faults)
    // An outage also ends the pending watches.
    if (this.#faults.down) for (const response of this.#watchers) response.destroy()
    return this.#faults
  }

  async #gate (): Promise<void> {
    if (this.#faults.delayMs > 0) await new Promise((resolve) => { setTimeout(resolve, this.#faults.delayMs) })
    if (this.#faults.down) throw new StatusError(503, 'the key-value service is down')
  }

  async #read ({ body }: JsonCall): Promise<unknown> {
    await this.#gate()
    this.#counts.reads += 1
    return this.#range(body as unknown as RangeRequest)
  }

  async #write ({ body, response }: JsonCall): Promise<unknown> {
    await this.#gate()
    const transaction = body as Transaction
    if (isRead(transaction)) {
      this.#counts.reads += 1
      return { header: this.#header(), ...this.#transaction(transaction) }
    }
    this.#counts.writes += 1
    this.#store.revision += 1
    const result = this.#transaction(transaction)
    if (Math.random() < this.#faults.lostReplies) {
      response.destroy()
      return undefined
    }
    return { header: this.#header(), ...result }
  }

  async #putOne ({ body }: JsonCall): Promise<unknown> {
    await this.#gate()
    this.#counts.writes += 1
    this.#store.revision += 1
    this.#store.put(String(body.key), String(body.value), String(body.lease ?? '0'))
    return { header: this.#header() }
  }

  #transaction (transaction: Transaction): { succeeded: boolean, responses: unknown[] } {
    const succeeded = (transaction.compare ?? []).every((compare) => this.#holds(compare))
    const operations = succeeded ? transaction.success : transaction.failure
    if ((operations?.length ?? 0) > MAX_OPERATIONS) throw new StatusError(400, 'etcdserver: too many operations in txn request')
    return { succeeded, responses: (operations ?? []).map((operation) => this.#operate(operation)) }
  }

  #holds (compare: Compare): boolean {
    const item = this.#store.get(compare.key)
    if (compare.target === 'CREATE') return (item?.createRevision ?? 0) === Number(compare.create_revision ?? 0)
    return (item?.modRevision ?? 0) === Number(compare.mod_revision ?? 0)
  }

  #operate (operation: Operation): unknown {
    if (operation.requestPut !== undefined) {
      const { key, value, lease } = operation.requestPut
      if (lease !== undefined && lease !== '0' && !this.#store.hasLease(lease)) throw new StatusError(404, 'requested lease not found')
      if (Buffer.byteLength(value, 'base64') > MAX_VALUE_BYTES) throw new StatusError(400, 'etcdserver: request is too large')
      this.#store.put(key, value, lease ?? '0')
      return { response_put: { header: this.#header() } }
    }
    if (operation.requestRange !== undefined) return { response_range: this.#range(operation.requestRange) }
    if (operation.requestDeleteRange !== undefined) {
      const deleted = this.#store.delete(operation.requestDeleteRange.key)
      return { response_delete_range: { header: this.#header(), deleted: deleted ? '1' : '0' } }
    }
    if (operation.requestTxn !== undefined) return { response_txn: { header: this.#header(), ...this.#transaction(operation.requestTxn) } }
    throw new StatusError(400, 'unknown operation in the transaction')
  }

  #range (body: RangeRequest): unknown {
    const all = this.#store.range(body.key, body.range_end)
    const limit = Number(body.limit ?? 0)
    const page = limit > 0 ? all.slice(0, limit) : all
    const kvs = page.map((item) => wireKey(body.keys_only === true ? { ...item, value: '' } : item))
    return { header: this.#header(), kvs, count: String(all.length), more: page.length < all.length }
  }

  async #grant (body: Record<string, unknown>): Promise<unknown> {
    await this.#gate()
    this.#counts.leases += 1
    const seconds = Number(body.TTL)
    return { header: this.#header(), ID: this.#store.grant(seconds), TTL: String(seconds) }
  }

  async #keep (body: Record<string, unknown>): Promise<unknown> {
    await this.#gate()
    this.#counts.leases += 1
    const id = String(body.ID)
    return { result: { header: this.#header(), ID: id, TTL: String(this.#store.keep(id)) } }
  }

  async #revoke (body: Record<string, unknown>): Promise<unknown> {
    await this.#gate()
    this.#store.revoke(String(body.ID))
    return { header: this.#header() }
  }

  async #watch ({ body, response }: JsonCall): Promise<undefined> {
    await this.#gate()
    this.#counts.watches += 1
    const { key, start_revision: from } = body.create_request as { key: string, start_revision?: string }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.write(`${JSON.stringify({ result: { header: this.#header(), created: true } })}\n`)
    const present = this.#store.get(key)
    if (from !== undefined && present !== undefined && present.modRevision >= Number(from)) {
      response.write(`${JSON.stringify({ result: { events: [{ kv: wireKey(present) }] } })}\n`)
    }
    this.#watchers.add(response)
    const stop = this.#store.watch((change) => {
      if (change.key !== key || this.#faults.down) return
      response.write(`${JSON.stringify({ result: { events: [{ kv: wireKey(change) }] } })}\n`)
    })
    response.on('close', () => {
      stop()
      this.#watchers.delete(response)
    })
    return undefined
  }

  #header (): { revision: string } {
    return { revision: String(this.#store.revision) }
  }
}

/** A transaction without writes counts as one read and makes no revision. */
function isRead ({ success, failure }: Transaction): boolean {
  const operations = [...success ?? [], ...failure ?? []]
  return operations.every((operation) => operation.requestRange !== undefined)
}

function wireKey (item: StoredKey): Record<string, string> {
  return {
    key: item.key,
    value: item.value,
    create_revision: String(item.createRevision),
    mod_revision: String(item.modRevision),
    version: String(item.version),
    lease: item.lease
  }
}
