import type { RefusalKind } from '../errors/refusal.js'

/** A request that is refused before the core sees it. */
export class RequestError extends Error {
  readonly kind: RefusalKind

  constructor (kind: RefusalKind, detail: string) {
    super(detail)
    this.kind = kind
  }
}
