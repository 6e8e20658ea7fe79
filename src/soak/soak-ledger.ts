import { CallKind, type CallEnd } from '../standin/platform-call.js'

const REFUSALS = new Set([408, 421, 429, 503])

/** What backend servers ran and callers saw; judges the promises that need no clock. */
export class SoakLedger {
  readonly #runs = new Map<string, number>()
  /** Requests whose server broke off its answer. */
  readonly brokenOff = new Set<string>()
  readonly ends: CallEnd[] = []

  ran (id: string): void {
    this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1)
  }

  hasRun (id: string): boolean {
    return this.#runs.has(id)
  }

  violations (): string[] {
    const found: string[] = []
    for (const { id, kind, status, fault } of this.ends) {
      const runs = this.#runs.get(id) ?? 0
      if (fault !== null) found.push(`${id} (${kind}): ${fault}`)
      if (kind !== CallKind.Check && runs > 1) found.push(`${id} (${kind}): ran ${runs} times`)
      if (kind !== CallKind.Check && status !== null && REFUSALS.has(status) && runs > 0) found.push(`${id} (${kind}): refused with ${status} although it ran`)
    }
    return found
  }
}
