import type { Operation } from './operation.js'

/** Leaves out operations, in ever smaller groups, as long as the schedule still fails; ends early when time runs out. */
export function shrinkOperations (operations: Operation[], fails: (candidate: Operation[]) => boolean, limitMs: number): Operation[] {
  const endMs = Date.now() + limitMs
  let kept = [...operations].sort((a, b) => a.atMs - b.atMs)
  for (let size = Math.ceil(kept.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
    for (let start = 0; start < kept.length;) {
      if (Date.now() > endMs) return kept
      const candidate = [...kept.slice(0, start), ...kept.slice(start + size)]
      if (fails(candidate)) kept = candidate
      else start += size
    }
  }
  return kept
}
