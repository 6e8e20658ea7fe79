/** Time for which a refused prompt is kept, in milliseconds; callers limit their streams to at most 14 seconds, so the caller has given up by then. */
const RETENTION_MS = 15_000

/**
 * Records when refused prompts were first requested.
 * Each attempt of a caller has a new request id, so a retry is recognised only by its prompt. Its latency objective counts from the first attempt.
 */
export class RefusedPrompts {
  /** By prompt id, oldest refusal first. */
  readonly #refusals = new Map<string, { firstRequestedMs: number, refusedMs: number }>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Records that a request was refused; a null `promptId` is ignored. */
  add (promptId: string | null, firstRequestedMs: number): void {
    if (promptId === null) return
    this.#refusals.delete(promptId)
    this.#refusals.set(promptId, { firstRequestedMs, refusedMs: this.#nowMs() })
    this.#evictExpired()
  }

  /** When a recently refused prompt was first requested, in milliseconds; null for any other prompt. */
  firstRequestedMs (promptId: string | null): number | null {
    this.#evictExpired()
    return promptId === null ? null : this.#refusals.get(promptId)?.firstRequestedMs ?? null
  }

  #evictExpired (): void {
    const oldestMs = this.#nowMs() - RETENTION_MS
    for (const [promptId, { refusedMs }] of this.#refusals) {
      if (refusedMs >= oldestMs) return
      this.#refusals.delete(promptId)
    }
  }
}
