import type { VirtualClock } from './virtual-clock.js'

export interface NetworkOptions {
  clock: VirtualClock
  random: () => number
  /** One way between failure domains, in milliseconds. */
  delayMs: number
  /** Largest addition to the delay, so that messages overtake each other. */
  jitterMs: number
  /** Share of datagrams and connections lost. */
  loss: number
}

/** Delays, loses and cuts messages between places. */
export class Network {
  readonly options: NetworkOptions
  readonly #cuts = new Set<string>()

  constructor (options: NetworkOptions) {
    this.options = options
  }

  /** Cuts the connection between two failure domains. */
  cut (a: string, b: string): void {
    this.#cuts.add(pairOf(a, b))
  }

  heal (a: string, b: string): void {
    this.#cuts.delete(pairOf(a, b))
  }

  isCut (a: string, b: string): boolean {
    return this.#cuts.has(pairOf(a, b))
  }

  /** Delivers unless the places are cut off or the message is lost. */
  send (from: string, to: string, deliver: () => void): boolean {
    const { clock, random, delayMs, jitterMs, loss } = this.options
    if (this.isCut(from, to) || random() < loss) return false
    clock.schedule(delayMs + random() * jitterMs, deliver)
    return true
  }
}

function pairOf (a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`
}
