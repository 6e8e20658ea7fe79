/** One event of a log, as it was written. */
export interface LogEvent {
  timeMs: number
  event: string
  fields: Record<string, string>
  line: string
}

const PAIR = /(\S+?)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Reads one line of key=value pairs; null if it is none. Text before the pairs, as log collectors add, is skipped. */
export function parseLine (line: string): LogEvent | null {
  const fields: Record<string, string> = {}
  for (const [, key = '', value = ''] of line.matchAll(PAIR)) fields[key] = unquote(value)
  const { time, event } = fields
  if (time === undefined || event === undefined) return null
  return { timeMs: Date.parse(time), event, fields, line }
}

function unquote (value: string): string {
  return value.startsWith('"') ? JSON.parse(value) as string : value
}
