/** Statuses of responses that never have a body. */
const BODILESS_STATUSES = new Set([204, 304])

/** Whether the final response to a request with this method may have a body. */
export function mayHaveBody (method: string | undefined, status: number | undefined): boolean {
  return method !== 'HEAD' && !(status !== undefined && BODILESS_STATUSES.has(status))
}
