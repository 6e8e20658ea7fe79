import type { RefusalKind } from '../errors/refusal.js'

/** Refuses a request before it is passed to the core. */
export class RequestError extends Error {
  readonly kind: RefusalKind

  constructor (kind: RefusalKind, detail: string) {
    super(detail)
    this.kind = kind
  }
}
