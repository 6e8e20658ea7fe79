/** Time after which a refused caller has given up, in milliseconds: the longest time limit of the users' streams is 14 seconds. */
const REMEMBER_MS = 15_000

/**
 * Remembers when refused prompts were first asked for.
 * Each attempt of a caller has an id of its own, so only its prompt tells that it returns; its objective has run since the first attempt.
 */
export class RefusedPrompts {
  /** By prompt, oldest refusal first. */
  readonly #firstAskedMs = new Map<string, { firstAskedMs: number, refusedMs: number }>()
  readonly #nowMs: () => number

  constructor (options: { nowMs: () => number }) {
    this.#nowMs = options.nowMs
  }

  /** Notes that a request for a prompt was refused; null for a request that names none. */
  add (promptId: string | null, firstAskedMs: number): void {
    if (promptId === null) return
    this.#firstAskedMs.delete(promptId)
    this.#firstAskedMs.set(promptId, { firstAskedMs, refusedMs: this.#nowMs() })
    this.#forgetOld()
  }

  /** When a prompt was first asked for, if it was refused since; null for a new one. */
  firstAskedMs (promptId: string | null): number | null {
    this.#forgetOld()
    return promptId === null ? null : this.#firstAskedMs.get(promptId)?.firstAskedMs ?? null
  }

  #forgetOld (): void {
    const sinceMs = this.#nowMs() - REMEMBER_MS
    for (const [promptId, { refusedMs }] of this.#firstAskedMs) {
      if (refusedMs >= sinceMs) return
      this.#firstAskedMs.delete(promptId)
    }
  }
}
