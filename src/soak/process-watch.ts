import { readFileSync } from 'node:fs'
import type { SoakFleet } from './soak-fleet.js'

/** Time between two samples of the processes, in milliseconds; the kernel keeps the peak meanwhile. */
const WATCH_PERIOD_MS = 100

interface ProcessWatchOptions {
  fleet: Pick<SoakFleet, 'instances' | 'unexpectedExits'>
  /** Memory that each process may use, in MB. */
  memoryMb: number
}

/** Watches the resident memory of the processes of a fleet, and whether one ends by itself. */
export class ProcessWatch {
  readonly #options: ProcessWatchOptions
  readonly #exceeded = new Map<number, { ip: string, peakMb: number, since: string }>()
  #timer: NodeJS.Timeout | undefined
  peakMb = 0

  constructor (options: ProcessWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => this.#sample(), WATCH_PERIOD_MS)
  }

  stop (): void {
    clearInterval(this.#timer)
    this.#sample()
  }

  violations (): string[] {
    const { memoryMb } = this.#options
    const exceeded = [...this.#exceeded.values()].map(({ ip, peakMb, since }) => `${ip}: its process used ${Math.round(peakMb)} MB of ${memoryMb} MB, more than allowed since ${since}`)
    return [...exceeded, ...this.#options.fleet.unexpectedExits.violations]
  }

  #sample (): void {
    const { fleet, memoryMb } = this.#options
    for (const { ip, process: { pid } } of fleet.instances) {
      const peakMb = pid === undefined ? 0 : peakResidentMb(pid)
      this.peakMb = Math.max(this.peakMb, peakMb)
      if (pid !== undefined && peakMb > memoryMb) this.#exceeded.set(pid, { ip, peakMb, since: this.#exceeded.get(pid)?.since ?? new Date().toISOString() })
    }
  }
}

/** Highest VmRSS that the process has had, in MB; 0 if it has ended. */
function peakResidentMb (pid: number): number {
  try {
    return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
  } catch {
    return 0
  }
}
