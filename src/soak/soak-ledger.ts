import { organisationOfRequest } from './soak-organisations.js'
import { CallKind, type CallEnd } from '../standin/platform-call.js'

const REFUSALS = new Set([408, 421, 429, 503])

/** What backend servers ran and callers saw; judges the promises that need no clock. */
export class SoakLedger {
  /** Requests that a server ran for another organisation, or with their key. */
  readonly #misnamed: string[] = []
  readonly #runs = new Map<string, number>()
  /** Requests whose server broke off its answer. */
  readonly brokenOff = new Set<string>()
  readonly ends: CallEnd[] = []

  /** Records that a server runs a request, with the organisation and the key that it was told; `caller` is undefined if the configuration needs no keys. */
  ran (id: string, caller?: { organisation: string | undefined, key: string | undefined }): void {
    this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1)
    const organisation = organisationOfRequest(id)
    if (caller?.key !== undefined) this.#misnamed.push(`${id}: its key was passed on to a server`)
    if (caller !== undefined && organisation !== undefined && caller.organisation !== organisation) this.#misnamed.push(`${id}: ran for ${caller.organisation ?? 'no organisation'} instead of ${organisation}`)
  }

  hasRun (id: string): boolean {
    return this.#runs.has(id)
  }

  violations (): string[] {
    const found: string[] = [...this.#misnamed]
    for (const { id, kind, status, fault } of this.ends) {
      const runs = this.#runs.get(id) ?? 0
      if (fault !== null) found.push(`${id} (${kind}): ${fault}`)
      if (kind !== CallKind.Check && runs > 1) found.push(`${id} (${kind}): ran ${runs} times`)
      if (kind !== CallKind.Check && status !== null && REFUSALS.has(status) && runs > 0) found.push(`${id} (${kind}): refused with ${status} although it ran`)
    }
    return found
  }
}
