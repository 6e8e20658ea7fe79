import { type Placement, PlacementRefusal, type RefusedPlacement } from '../../src/gateway/placement.js'
import type { AlternativePlacement } from '../../src/gateway/placer.js'

export const noRunner: RefusedPlacement = { refusal: PlacementRefusal.NoRunner, retryAfterMs: 100, waiting: 0, runs: 0 }

/** Answers each search for another place with the given decision and records what becomes of it. */
export function alternative (decision: Placement | RefusedPlacement, record: (call: string) => void = () => {}): AlternativePlacement {
  return { decision: Promise.resolve(decision), accept: () => record('accepted'), withdraw: () => record('withdrawn') }
}

export function noAlternative (): AlternativePlacement {
  return alternative(noRunner)
}
