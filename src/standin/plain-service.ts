import { LEAVING_REASON } from '../adapters/leaving-answer.js'
import { type JsonHandlers, StatusError } from './json-server.js'

/** One run of a call that reached a stand-in service. */
export interface ServiceRun {
  key: string
  path: string
  body: string
  atMs: number
}

/** Stand-in for a plain service such as the order desk: every call that reaches it counts as run. */
export class PlainService {
  readonly #id: string
  readonly #delayMs: number
  readonly #runs: ServiceRun[] = []
  #leaving = false

  constructor (options: { id: string, delayMs?: number }) {
    this.#id = options.id
    this.#delayMs = options.delayMs ?? 20
  }

  get handlers (): JsonHandlers {
    return {
      'GET /standin/record': () => ({ id: this.#id, runs: this.#runs }),
      'POST /standin/leave': ({ body }) => {
        this.#leaving = body.leaving === true
        return { leaving: this.#leaving }
      },
      'GET *': async ({ request }) => {
        this.#refuseIfLeaving()
        await this.#work()
        return { service: this.#id, path: request.url, stock: 7 }
      },
      'POST *': async ({ request, body }) => {
        this.#refuseIfLeaving()
        const key = String(request.headers['idempotency-key'] ?? '')
        if (key === '') throw new StatusError(400, 'no Idempotency-Key')
        this.#runs.push({ key, path: request.url ?? '', body: JSON.stringify(body), atMs: Date.now() })
        await this.#work()
        return { service: this.#id, confirmed: key, order: body }
      }
    }
  }

  #refuseIfLeaving (): void {
    if (this.#leaving) throw new StatusError(503, 'this server is leaving', LEAVING_REASON)
  }

  async #work (): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, this.#delayMs) })
  }
}
