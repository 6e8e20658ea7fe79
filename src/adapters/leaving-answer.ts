/** The `reason` in the body of a 503 response of a backend server that accepts no new work and has not started the work of this call. */
export const LEAVING_REASON = 'leaving'

const LEAVING_STATUS = 503

/** Whether a response of a backend server states that the server is leaving. */
export function isLeavingAnswer (status: number, text: string): boolean {
  if (status !== LEAVING_STATUS) return false
  try {
    return (JSON.parse(text) as { reason?: unknown } | null)?.reason === LEAVING_REASON
  } catch {
    return false
  }
}
