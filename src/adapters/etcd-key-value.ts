import { request } from 'undici'
import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { CompareAndSwap, KeyValue, KeyValueService, Put, CompareAndSwapResult } from '../ports/key-value.js'
import type { ConditionalRead, KeyValueTransaction, KeyValueTransactions } from '../ports/key-value-transactions.js'
import { agent, isUnreachable } from './http-call.js'

/** Limit for the response headers of a call, and again for its body, in ms. */
const CALL_TIMEOUT_MS = 1000

/** Operations in one transaction; etcd's default limit. */
const MAX_TRANSACTION_OPERATIONS = 128

/** Keys requested in one call when only names and revisions are listed. */
const PAGE_KEYS = 2000

interface WireKeyValue {
  key: string
  value?: string
  create_revision: string
  mod_revision: string
  lease?: string
}

interface WireTransaction {
  succeeded?: boolean
  header: { revision: string }
  responses?: Array<{ response_range?: { kvs?: WireKeyValue[] }, response_txn?: WireTransaction }>
}

/** Client of the platform's key-value service, which speaks the etcd v3 JSON protocol. */
export class EtcdKeyValue implements KeyValueService, KeyValueTransactions {
  readonly #baseUrl: string
  /** Calls made so far. */
  calls = 0

  constructor (options: { baseUrl: string }) {
    this.#baseUrl = options.baseUrl.replace(/\/$/, '')
  }

  async get (key: string): Promise<Result<KeyValue | null, KeyValueError>> {
    const answer = await this.#call<{ kvs?: WireKeyValue[] }>('/v3/kv/range', { key: toBase64(key) }, Effect.None)
    return answer.map(({ kvs }) => kvs?.[0] === undefined ? null : fromWire(kvs[0]))
  }

  async list (prefix: string): Promise<Result<KeyValue[], KeyValueError>> {
    const answer = await this.#call<{ kvs?: WireKeyValue[] }>('/v3/kv/range', { key: toBase64(prefix), range_end: endOfPrefix(prefix) }, Effect.None)
    return answer.map(({ kvs }) => (kvs ?? []).map(fromWire))
  }

  async compareAndSwap (write: CompareAndSwap): Promise<Result<CompareAndSwapResult, KeyValueError>> {
    const answer = await this.#call<WireTransaction>('/v3/kv/txn', transaction(write), Effect.Unknown)
    return answer.map(swapResult)
  }

  async compareAndSwapEach (writes: CompareAndSwap[]): Promise<Result<CompareAndSwapResult[], KeyValueError>> {
    const success = writes.map((write) => ({ requestTxn: transaction(write) }))
    const answer = await this.#call<WireTransaction>('/v3/kv/txn', { compare: [], success, failure: [] }, Effect.Unknown)
    return answer.map(({ responses, header }) => (responses ?? []).map((response) => swapResult({ ...response.response_txn, header })))
  }

  async transact ({ expected, puts, deletes = [] }: KeyValueTransaction): Promise<Result<boolean, KeyValueError>> {
    const body = {
      compare: expected.map(({ key, revision }) => compareRevision(toBase64(key), revision)),
      success: [...puts.map(putOperation), ...deletes.map((key) => ({ requestDeleteRange: { key: toBase64(key) } }))],
      failure: []
    }
    const answer = await this.#call<WireTransaction>('/v3/kv/txn', body, Effect.Unknown)
    return answer.map(({ succeeded }) => succeeded === true)
  }

  async getEach (keys: string[]): Promise<Result<Array<KeyValue | null>, KeyValueError>> {
    const found: Array<KeyValue | null> = []
    for (let from = 0; from < keys.length; from += MAX_TRANSACTION_OPERATIONS) {
      const success = keys.slice(from, from + MAX_TRANSACTION_OPERATIONS).map((key) => ({ requestRange: { key: toBase64(key) } }))
      const answer = await this.#call<WireTransaction>('/v3/kv/txn', { compare: [], success, failure: [] }, Effect.None)
      if (answer.err) return answer
      for (const { response_range: range } of answer.val.responses ?? []) found.push(range?.kvs?.[0] === undefined ? null : fromWire(range.kvs[0]))
    }
    return Ok(found)
  }

  async getIfChanged (key: string, knownRevision: number): Promise<Result<ConditionalRead, KeyValueError>> {
    const encodedKey = toBase64(key)
    const body = { compare: [compareRevision(encodedKey, knownRevision)], success: [], failure: [{ requestRange: { key: encodedKey } }] }
    const answer = await this.#call<WireTransaction>('/v3/kv/txn', body, Effect.None)
    return answer.map(({ succeeded, responses }) => {
      const found = responses?.[0]?.response_range?.kvs?.[0]
      return { changed: succeeded !== true, item: found === undefined ? null : fromWire(found) }
    })
  }

  async listRevisions (prefix: string): Promise<Result<Array<{ key: string, modRevision: number }>, KeyValueError>> {
    const found: Array<{ key: string, modRevision: number }> = []
    let from = Buffer.from(prefix, 'utf8')
    for (;;) {
      const body = { key: from.toString('base64'), range_end: endOfPrefix(prefix), keys_only: true, limit: String(PAGE_KEYS) }
      const answer = await this.#call<{ kvs?: WireKeyValue[], more?: boolean }>('/v3/kv/range', body, Effect.None)
      if (answer.err) return answer
      const page = (answer.val.kvs ?? []).map(fromWire)
      found.push(...page.map(({ key, modRevision }) => ({ key, modRevision })))
      const last = page.at(-1)
      if (answer.val.more !== true || last === undefined) return Ok(found)
      from = Buffer.concat([Buffer.from(last.key, 'utf8'), Buffer.from([0])])
    }
  }

  async grantLease (seconds: number): Promise<Result<string, KeyValueError>> {
    const answer = await this.#call<{ ID: string }>('/v3/lease/grant', { TTL: String(seconds) }, Effect.Unknown)
    return answer.map(({ ID }) => ID)
  }

  async keepLeaseAlive (lease: string): Promise<Result<boolean, KeyValueError>> {
    const answer = await this.#call<{ result?: { TTL?: string } }>('/v3/lease/keepalive', { ID: lease }, Effect.Unknown)
    return answer.map(({ result }) => Number(result?.TTL ?? 0) > 0)
  }

  async revokeLease (lease: string): Promise<Result<void, KeyValueError>> {
    const answer = await this.#call<unknown>('/v3/lease/revoke', { ID: lease }, Effect.Unknown)
    return answer.map(() => undefined)
  }

  async watch (key: string, onChange: (change: KeyValue) => void, signal: AbortSignal, fromRevision = 0): Promise<Result<void, KeyValueError>> {
    this.calls += 1
    try {
      const answer = await request(`${this.#baseUrl}/v3/watch`, {
        method: 'POST',
        dispatcher: agent,
        body: JSON.stringify({ create_request: { key: toBase64(key), ...(fromRevision === 0 ? {} : { start_revision: String(fromRevision) }) } }),
        signal,
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: 0
      })
      let pending = ''
      for await (const chunk of answer.body) {
        const lines = (pending + String(chunk)).split('\n')
        pending = lines.pop() ?? ''
        for (const line of lines) reportChanges(line, onChange)
      }
      return Err({ effect: Effect.None, detail: 'the watch ended' })
    } catch (error) {
      if (signal.aborted) return Ok(undefined)
      return Err({ effect: Effect.None, detail: String(error) })
    }
  }

  async #call<T> (path: string, body: unknown, effect: Effect): Promise<Result<T, KeyValueError>> {
    this.calls += 1
    try {
      const answer = await request(`${this.#baseUrl}${path}`, {
        method: 'POST',
        dispatcher: agent,
        body: JSON.stringify(body),
        headers: { 'content-type': 'application/json' },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS
      })
      const text = await answer.body.text()
      if (answer.statusCode === 200) return Ok(JSON.parse(text) as T)
      return Err({ effect, detail: `status ${answer.statusCode}: ${text.slice(0, 200)}` })
    } catch (error) {
      return Err({ effect: isUnreachable(error) ? Effect.None : effect, detail: error instanceof Error ? error.message : String(error) })
    }
  }
}

function transaction ({ expectedRevision, ...put }: CompareAndSwap): unknown {
  const encodedKey = toBase64(put.key)
  return {
    compare: [compareRevision(encodedKey, expectedRevision)],
    success: [putOperation(put)],
    failure: [{ requestRange: { key: encodedKey } }]
  }
}

function compareRevision (key: string, revision: number): unknown {
  return { key, target: 'MOD', result: 'EQUAL', mod_revision: String(revision) }
}

function putOperation ({ key, value, lease }: Put): unknown {
  const put = { key: toBase64(key), value: Buffer.from(value).toString('base64'), ...(lease === undefined ? {} : { lease }) }
  return { requestPut: put }
}

function swapResult (answer: WireTransaction): CompareAndSwapResult {
  const present = answer.responses?.[0]?.response_range?.kvs?.[0]
  return {
    swapped: answer.succeeded === true,
    revision: Number(answer.header.revision),
    present: present === undefined ? null : fromWire(present)
  }
}

function reportChanges (line: string, onChange: (change: KeyValue) => void): void {
  if (line === '') return
  const message = JSON.parse(line) as { result?: { events?: Array<{ kv: WireKeyValue }> } }
  for (const { kv } of message.result?.events ?? []) onChange(fromWire(kv))
}

function fromWire (wire: WireKeyValue): KeyValue {
  return {
    key: Buffer.from(wire.key, 'base64').toString('utf8'),
    value: Buffer.from(wire.value ?? '', 'base64'),
    modRevision: Number(wire.mod_revision),
    createRevision: Number(wire.create_revision),
    lease: wire.lease ?? '0'
  }
}

function toBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** The end of the range of all keys with the prefix, which etcd excludes: the prefix with its last byte raised by one, in base64. */
function endOfPrefix (prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8')
  bytes[bytes.length - 1] = (bytes[bytes.length - 1] ?? 0) + 1
  return bytes.toString('base64')
}
