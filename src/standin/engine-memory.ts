import type { EngineWork } from './engine-work.js'

/** Held work of a stand-in engine and the pieces it takes. */
export class EngineMemory {
  readonly totalPieces: number
  readonly works = new Map<string, EngineWork>()

  constructor (options: { totalPieces: number }) {
    this.totalPieces = options.totalPieces
  }

  get heldPieces (): number {
    let sum = 0
    for (const work of this.works.values()) sum += work.pieces
    return sum
  }

  get freePieces (): number {
    return this.totalPieces - this.heldPieces
  }

  /** Returns false if there is no room. */
  hold (work: EngineWork): boolean {
    if (work.pieces > this.freePieces) return false
    this.works.set(work.work, work)
    return true
  }

  /** Returns the pieces that became free. */
  release (id: string): number {
    const work = this.works.get(id)
    if (work === undefined) return 0
    if (work.evictionTimer !== null) clearTimeout(work.evictionTimer)
    work.cancelled = true
    this.works.delete(id)
    return work.pieces
  }
}
