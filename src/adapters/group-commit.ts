import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { CompareAndSwap, KeyValueService, CompareAndSwapResult } from '../ports/key-value.js'

/** etcd refuses transactions with more operations. */
const MAX_BATCH = 128

const MAX_QUEUE = 4096

/** A write that waited longer is dropped unsent: its caller's deadline is near. */
const MAX_WAIT_MS = 1500

interface Waiting {
  write: CompareAndSwap
  sinceMs: number
  resolve: (result: Result<CompareAndSwapResult, KeyValueError>) => void
}

interface GroupCommitOptions {
  keyValue: Pick<KeyValueService, 'compareAndSwapEach'>
  nowMs?: () => number
  pause?: (ms: number) => Promise<void>
  /** Least time between the starts of two calls: keeps the fleet's rate of writes within what the service handles. */
  spacingMs?: () => number
  maxQueue?: number
}

export function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Joins compare-and-swaps into few calls: one call is in flight while the next batch collects. */
export class GroupCommit {
  readonly #keyValue: Pick<KeyValueService, 'compareAndSwapEach'>
  readonly #nowMs: () => number
  readonly #pause: (ms: number) => Promise<void>
  readonly #spacingMs: () => number
  readonly #maxQueue: number
  #startedMs = Number.NEGATIVE_INFINITY
  #queue: Waiting[] = []
  #running = false

  constructor ({ keyValue, nowMs = Date.now, pause = sleep, spacingMs = () => 0, maxQueue = MAX_QUEUE }: GroupCommitOptions) {
    this.#keyValue = keyValue
    this.#nowMs = nowMs
    this.#pause = pause
    this.#spacingMs = spacingMs
    this.#maxQueue = maxQueue
  }

  async write (write: CompareAndSwap): Promise<Result<CompareAndSwapResult, KeyValueError>> {
    if (this.#queue.length >= this.#maxQueue) return notSent('the queue of writes is full')
    const result = new Promise<Result<CompareAndSwapResult, KeyValueError>>((resolve) => {
      this.#queue.push({ write, sinceMs: this.#nowMs(), resolve })
    })
    void this.#run()
    return await result
  }

  async #run (): Promise<void> {
    if (this.#running) return
    this.#running = true
    // Writes of the same moment share the first batch.
    await Promise.resolve()
    while (this.#queue.length > 0) {
      const waitMs = this.#startedMs + this.#spacingMs() - this.#nowMs()
      if (waitMs > 0) await this.#pause(waitMs)
      this.#startedMs = this.#nowMs()
      const batch = this.#takeBatch()
      if (batch.length > 0) await this.#commit(batch)
    }
    this.#running = false
  }

  /** Each key is in a batch once: etcd refuses a transaction that puts a key twice. */
  #takeBatch (): Waiting[] {
    const batch = new Map<string, Waiting>()
    const later: Waiting[] = []
    const oldestMs = this.#nowMs() - MAX_WAIT_MS
    for (const waiting of this.#queue) {
      if (waiting.sinceMs < oldestMs) waiting.resolve(notSent('the write waited too long'))
      else if (batch.size < MAX_BATCH && !batch.has(waiting.write.key)) batch.set(waiting.write.key, waiting)
      else later.push(waiting)
    }
    this.#queue = later
    return [...batch.values()]
  }

  async #commit (batch: Waiting[]): Promise<void> {
    const outcomes = await this.#swap(batch.map(({ write }) => write))
    for (const [index, { resolve }] of batch.entries()) {
      if (outcomes.err) {
        resolve(outcomes)
        continue
      }
      const outcome = outcomes.val[index]
      resolve(outcome === undefined ? Err({ effect: Effect.Unknown, detail: 'the answer has fewer outcomes than the call had writes' }) : Ok(outcome))
    }
  }

  async #swap (writes: CompareAndSwap[]): Promise<Result<CompareAndSwapResult[], KeyValueError>> {
    try {
      return await this.#keyValue.compareAndSwapEach(writes)
    } catch (error) {
      return Err({ effect: Effect.Unknown, detail: String(error) })
    }
  }
}

function notSent (detail: string): Result<CompareAndSwapResult, KeyValueError> {
  return Err({ effect: Effect.None, detail })
}
