import { DecayingSum } from './decaying-sum.js'

/** Half-life of the measurements that show how fast a runner usually is, in milliseconds. */
const LASTING_HALF_LIFE_MS = 30_000

/** Half-life of the measurements that show a momentary slowness, in milliseconds; it passes within some seconds. */
const MOMENTARY_HALF_LIFE_MS = 1000

/** Measured time that counts as much as the assumption of the usual speed, in milliseconds of decoding: one report each of some runs, since a single one may be off by an event. */
const ASSUMED_MS = 600

/** Bounds of the speed: beyond them a runner is faulty or its measurements are, which other parts of the gateway tell. */
const MIN_SPEED = 0.25
const MAX_SPEED = 1.5

interface Measurements {
  expectedMs: DecayingSum
  takenMs: DecayingSum
}

/** Speed of one runner compared with what is usual for the same work; 1 is usual. The lower one of its lasting and its momentary speed counts. */
export class RelativeSpeed {
  readonly #lasting: Measurements
  readonly #momentary: Measurements

  constructor (options: { nowMs: () => number }) {
    const measurements = (halfLifeMs: number): Measurements => ({
      expectedMs: new DecayingSum({ nowMs: options.nowMs, halfLifeMs }),
      takenMs: new DecayingSum({ nowMs: options.nowMs, halfLifeMs })
    })
    this.#lasting = measurements(LASTING_HALF_LIFE_MS)
    this.#momentary = measurements(MOMENTARY_HALF_LIFE_MS)
  }

  /** Records work that took a time and usually takes another, both in milliseconds. */
  record ({ expectedMs, takenMs }: { expectedMs: number, takenMs: number }): void {
    for (const measurements of [this.#lasting, this.#momentary]) {
      measurements.expectedMs.add(expectedMs)
      measurements.takenMs.add(takenMs)
    }
  }

  get value (): number {
    const lasting = speedOf(this.#lasting, 1)
    // Without recent measurements, the momentary speed falls back to the lasting one.
    return Math.min(lasting, speedOf(this.#momentary, lasting))
  }
}

function speedOf ({ expectedMs, takenMs }: Measurements, assumedSpeed: number): number {
  const speed = (expectedMs.value + ASSUMED_MS * assumedSpeed) / (takenMs.value + ASSUMED_MS)
  return Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed))
}
