import type { Log } from '../logs/log.js'
import type { Placement } from './placement.js'
import type { AlternativePlacement } from './placer.js'

interface SilenceWatchOptions {
  /** Silence after which another place is sought, in milliseconds; also the time until the next attempt after one that found none. */
  silenceMs: number
  /** Asks for another place; null if the stream can't be moved. */
  seek: () => AlternativePlacement | null
  /** Takes the stream to this place; resolves to the reason if it stays at its runner, or to null. `isSilent` tells whether it still needs another place. */
  move: (placement: Placement, isSilent: () => boolean) => Promise<string | null>
  /** Called when no other place was found. */
  onKept: (reason: string) => void
  /** Called once, when the stream goes on at another place. */
  onMoved: () => void
  log: Log
}

/**
 * Seeks another place for a stream while its runner is silent. The runner keeps the stream until another one has taken it over,
 * as it may only be pausing, or may have preempted the run for a while.
 */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions
  #timer: NodeJS.Timeout | undefined
  #search: AlternativePlacement | null = null

  constructor (options: SilenceWatchOptions) {
    this.#options = options
  }

  /** Call it when the stream begins, when bytes of it arrive and when it is no longer paused. */
  restart (): void {
    this.stop()
    this.#timer = setTimeout(() => {
      this.#seek().catch((error: unknown) => this.#options.log.error('stream.fault', { detail: String(error) }))
    }, this.#options.silenceMs)
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#search?.withdraw()
    this.#search = null
  }

  async #seek (): Promise<void> {
    const search = this.#options.seek()
    if (search === null) return this.restart()
    this.#search = search
    const decision = await search.decision
    if (this.#search !== search) return
    if ('refusal' in decision) return this.#keep(decision.refusal)
    const reasonToStay = await this.#options.move(decision, () => this.#search === search)
    if (reasonToStay !== null) {
      if (this.#search === search) this.#keep(reasonToStay)
      return
    }
    this.#search = null
    search.accept()
    this.#options.onMoved()
  }

  #keep (reason: string): void {
    this.#options.onKept(reason)
    this.restart()
  }
}
