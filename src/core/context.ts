/** Inputs of a handler besides the blackboard and the event. Passed in so that the core stays deterministic. */
export interface Context {
  nowMs: number
  random: () => number
  nextId: () => string
}
