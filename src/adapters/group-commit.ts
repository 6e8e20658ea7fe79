import { Effect, type KeyValueError } from '../errors/key-value-error.js'
import { Err, Ok, type Result } from '../errors/result.js'
import type { CompareAndSwap, KeyValueService, CompareAndSwapResult } from '../ports/key-value.js'

/** Writes in one batch; etcd refuses transactions with more operations by default. */
const MAX_BATCH_WRITES = 128

/** Writes that may wait; further ones are refused. */
const MAX_QUEUED_WRITES = 4096

/** Time after which a waiting write is refused without being sent, in ms; its caller's deadline is near by then. */
const MAX_WAIT_MS = 1500

interface QueuedWrite {
  write: CompareAndSwap
  queuedMs: number
  resolve: (result: Result<CompareAndSwapResult, KeyValueError>) => void
}

interface GroupCommitOptions {
  keyValue: Pick<KeyValueService, 'compareAndSwapEach'>
  nowMs?: () => number
  pause?: (ms: number) => Promise<void>
  /** Minimum time between the starts of two calls, in ms; it keeps the fleet's rate of writes within what the service handles. */
  spacingMs?: () => number
  maxQueue?: number
}

export function sleep (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}

/** Combines compare-and-swaps into batches: while one call is in flight, the writes of the next batch are queued. */
export class GroupCommit {
  readonly #keyValue: Pick<KeyValueService, 'compareAndSwapEach'>
  readonly #nowMs: () => number
  readonly #pause: (ms: number) => Promise<void>
  readonly #spacingMs: () => number
  readonly #maxQueue: number
  #lastCallStartMs = Number.NEGATIVE_INFINITY
  #queue: QueuedWrite[] = []
  #running = false

  constructor ({ keyValue, nowMs = Date.now, pause = sleep, spacingMs = () => 0, maxQueue = MAX_QUEUED_WRITES }: GroupCommitOptions) {
    this.#keyValue = keyValue
    this.#nowMs = nowMs
    this.#pause = pause
    this.#spacingMs = spacingMs
    this.#maxQueue = maxQueue
  }

  async write (write: CompareAndSwap): Promise<Result<CompareAndSwapResult, KeyValueError>> {
    if (this.#queue.length >= this.#maxQueue) return notSent('the queue of writes is full')
    const result = new Promise<Result<CompareAndSwapResult, KeyValueError>>((resolve) => {
      this.#queue.push({ write, queuedMs: this.#nowMs(), resolve })
    })
    void this.#drainQueue()
    return await result
  }

  async #drainQueue (): Promise<void> {
    if (this.#running) return
    this.#running = true
    // Yields for one microtask, so that writes made in the same tick share the first batch.
    await Promise.resolve()
    while (this.#queue.length > 0) {
      const waitMs = this.#lastCallStartMs + this.#spacingMs() - this.#nowMs()
      if (waitMs > 0) await this.#pause(waitMs)
      this.#lastCallStartMs = this.#nowMs()
      const batch = this.#dequeueBatch()
      if (batch.length > 0) await this.#writeBatch(batch)
    }
    this.#running = false
  }

  /** Takes the next batch from the queue and refuses writes that have waited too long. A batch contains each key once, since etcd refuses a transaction that puts a key twice. */
  #dequeueBatch (): QueuedWrite[] {
    const batch = new Map<string, QueuedWrite>()
    const remaining: QueuedWrite[] = []
    const oldestMs = this.#nowMs() - MAX_WAIT_MS
    for (const queued of this.#queue) {
      if (queued.queuedMs < oldestMs) queued.resolve(notSent('the write waited too long in the queue'))
      else if (batch.size < MAX_BATCH_WRITES && !batch.has(queued.write.key)) batch.set(queued.write.key, queued)
      else remaining.push(queued)
    }
    this.#queue = remaining
    return [...batch.values()]
  }

  async #writeBatch (batch: QueuedWrite[]): Promise<void> {
    const results = await this.#sendBatch(batch.map(({ write }) => write))
    for (const [index, { resolve }] of batch.entries()) {
      if (results.err) {
        resolve(results)
        continue
      }
      const result = results.val[index]
      resolve(result === undefined ? Err({ effect: Effect.Unknown, detail: 'the response has fewer results than the call had writes' }) : Ok(result))
    }
  }

  async #sendBatch (writes: CompareAndSwap[]): Promise<Result<CompareAndSwapResult[], KeyValueError>> {
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
