interface Entry {
  atMs: number
  order: number
  run: () => void
}

/** Virtual time: runs callbacks in the order of their due times, equal times in the order of scheduling. */
export class VirtualClock {
  nowMs = 0
  steps = 0
  readonly #heap: Entry[] = []
  #order = 0

  schedule (afterMs: number, run: () => void): void {
    this.#order += 1
    this.#push({ atMs: this.nowMs + Math.max(0, afterMs), order: this.#order, run })
  }

  /** Runs everything due up to the given time, then sets the time to it. */
  runUntil (untilMs: number): void {
    for (let next = this.#heap[0]; next !== undefined && next.atMs <= untilMs; next = this.#heap[0]) {
      this.#pop()
      this.nowMs = next.atMs
      this.steps += 1
      next.run()
    }
    this.nowMs = Math.max(this.nowMs, untilMs)
  }

  #push (entry: Entry): void {
    const heap = this.#heap
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!before(entry, heap[parent] as Entry)) break
      heap[index] = heap[parent] as Entry
      index = parent
    }
    heap[index] = entry
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop() as Entry
    if (heap.length === 0) return
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && before(heap[child + 1] as Entry, heap[child] as Entry)) child += 1
      if (!before(heap[child] as Entry, last)) break
      heap[index] = heap[child] as Entry
      index = child
    }
    heap[index] = last
  }
}

function before (a: Entry, b: Entry): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}
