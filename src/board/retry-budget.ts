/** Token bucket that bounds the retries of one service to a share of its requests. */
export interface RetryBudget {
  /** Retries that may be made now; each request adds a fraction. */
  tokens: number
}
