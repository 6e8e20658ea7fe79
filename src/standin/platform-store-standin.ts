import type { Server } from 'node:http'
import { createJsonServer, type JsonCall, type JsonHandlers, StatusError } from './json-server.js'

interface Item {
  Key: string
  Value: string
  Revision: number
}

type Change = Item | { Key: string, Revision: number, Deleted: true }

interface Transaction {
  Precondition: Array<{ Key: string, Revision: number }>
  Writes: Array<{ Key: string, Value: string }>
  Remove: string[]
}

/** The state of the store at one moment. */
export interface StoreCopy {
  items: Item[]
  revision: number
}

const PAGE_ITEMS = 500

/** Takes the place of the platform's store in tests: items with revisions, conditional writes, watches and the return from a copy; no leases, which the gateway does not use. */
export class PlatformStoreStandIn {
  readonly server: Server
  readonly #items = new Map<string, Item>()
  readonly #changes: Change[] = []
  readonly #waiting = new Set<() => void>()
  #revision = 1
  #era = 1

  constructor () {
    const handlers: JsonHandlers = {
      'GET /v1/kv-range': (call) => this.#range(call),
      'GET /v1/kv-watch': (call) => this.#watch(call),
      'POST /v1/kv-txn': ({ body }) => this.#transaction(body as unknown as Transaction)
    }
    this.server = createJsonServer(Object.fromEntries(Object.entries(handlers).map(([name, handler]) => [name, async (call: JsonCall) => {
      try {
        return await handler(call)
      } finally {
        call.response.setHeader('store-era', this.#era)
      }
    }])))
  }

  /** A copy of the store's state, for `restore`. */
  copy (): StoreCopy {
    return { items: [...this.#items.values()], revision: this.#revision }
  }

  /** Returns to the state of a copy: its revisions are given out again, and the era rises. Waiting watches stay open. */
  restore ({ items, revision }: StoreCopy): void {
    this.#items.clear()
    for (const item of items) this.#items.set(item.Key, item)
    this.#changes.splice(0, Infinity, ...this.#changes.filter((change) => change.Revision <= revision))
    this.#revision = revision
    this.#era += 1
  }

  /** Writes an item as an operator or a backend server does. */
  put (key: string, value: unknown): void {
    this.putBytes(key, Buffer.from(JSON.stringify(value)))
  }

  /** Writes any bytes, as another writer may. */
  putBytes (key: string, bytes: Buffer): void {
    this.#write(key, bytes.toString('base64'))
  }

  has (key: string): boolean {
    return this.#items.has(key)
  }

  /** Whether an item was written or removed after this revision of the present era. */
  changedSince (key: string, revision: number): boolean {
    return this.#changes.some((change) => change.Key === key && change.Revision > revision)
  }

  remove (key: string): void {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#note({ Key: key, Revision: this.#revision, Deleted: true })
  }

  #write (key: string, value: string): void {
    this.#revision += 1
    const item = { Key: key, Value: value, Revision: this.#revision }
    this.#items.set(key, item)
    this.#note(item)
  }

  #note (change: Change): void {
    this.#changes.push(change)
    for (const wake of this.#waiting) wake()
  }

  #range ({ query }: JsonCall): unknown {
    const prefix = query.get('PathPrefix') ?? ''
    const after = query.get('after') ?? ''
    const items = [...this.#items.values()].filter(({ Key: key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.Key < b.Key ? -1 : 1)
    return { items: items.slice(0, PAGE_ITEMS), HasMore: items.length > PAGE_ITEMS, At: this.#revision }
  }

  async #watch ({ query }: JsonCall): Promise<unknown> {
    const prefix = query.get('PathPrefix') ?? ''
    const after = Number(query.get('after'))
    if (after > this.#revision) throw new StatusError(410, 'no such revision')
    const since = (): Change[] => this.#changes.filter((change) => change.Revision > after && change.Key.startsWith(prefix))
    if (since().length === 0) await this.#nextChange(Number(query.get('WaitMs')))
    return { events: since(), At: this.#revision }
  }

  #nextChange (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.#waiting.delete(wake)
        clearTimeout(timer)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiting.add(wake)
    })
  }

  #transaction ({ Precondition: conditions, Writes: writes, Remove: removals }: Transaction): unknown {
    for (const { Key: key, Revision: revision } of conditions) {
      if ((this.#items.get(key)?.Revision ?? 0) !== revision) throw new StatusError(412, 'a condition does not hold')
    }
    for (const { Key: key, Value: value } of writes) this.#write(key, value)
    for (const key of removals) this.remove(key)
    return { Revision: this.#revision }
  }
}
