import type { Board } from '../board/board.js'

/** Retries that each request adds to the budget: enough if one runner in six fails, too few to double the load. */
export const RETRY_SHARE = 0.2

/** Maximum of the budget, in retries: a burst of failures may use as many at once. */
export const RETRY_BURST = 20

/** Adds the share of one request to the budget of its service. */
export function addRetryShare (board: Board, service: string): void {
  const budget = budgetOf(board, service)
  budget.tokens = Math.min(RETRY_BURST, budget.tokens + RETRY_SHARE)
}

/** Takes one retry from the budget; returns false if less than one is left. */
export function consumeRetry (board: Board, service: string): boolean {
  const budget = budgetOf(board, service)
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}

function budgetOf (board: Board, service: string): { tokens: number } {
  const existing = board.retryBudgets.get(service)
  if (existing !== undefined) return existing
  const budget = { tokens: RETRY_BURST }
  board.retryBudgets.set(service, budget)
  return budget
}

/** The service that a model belongs to; the model's own name if the active bundle does not list the model. */
export function serviceOf (board: Board, model: string): string {
  return board.bundle?.index.models.get(model)?.service ?? model
}
