import type { Run } from './run-table.js'

/** Time after the expected end of a prefill from which its runner counts as slowed down, as a multiple of its expected duration: a runner may answer some time after it has begun the next prompt. */
const PREFILL_OVERDUE_FACTOR = 3

/** Time at which a prefill runner is expected to have processed its prompts, in milliseconds. One that is overdue is expected to take as long again as it is overdue, so that a runner that slows down for a moment does not count as free. */
export function freeAtMs (prefills: Run[], tokensPerMs: number, nowMs: number): number {
  const lastEndMs = Math.max(nowMs, ...prefills.map((run) => run.prefillStartMs + run.promptTokens / tokensPerMs))
  const [first] = prefills
  if (first === undefined) return lastEndMs
  const expectedMs = first.promptTokens / tokensPerMs
  const overdueMs = nowMs - first.prefillStartMs - expectedMs
  return overdueMs > PREFILL_OVERDUE_FACTOR * expectedMs ? lastEndMs + overdueMs : lastEndMs
}
