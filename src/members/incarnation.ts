/** Hexadecimal digits of the start time in ms; enough until the year 10889. */
const TIME_DIGITS = 12

/**
 * Incarnation of a process start: the start time in hexadecimal, then random digits.
 * Incarnations of one id are ordered as text; a later start is higher unless the clock was set back.
 */
export function createIncarnation (startMs: number, randomDigits: string): string {
  return startMs.toString(16).padStart(TIME_DIGITS, '0') + randomDigits
}
