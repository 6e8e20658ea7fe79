/** An event read from a log line; the values of its fields are text. */
export interface LogEvent {
  timeMs: number
  event: string
  fields: Record<string, string>
  line: string
}

const PAIR_PATTERN = /(\S+?)=("(?:[^"\\]|\\.)*"|\S*)/g

/** Parses a line of key=value pairs; null if it has no `time` or no `event`. Text that log collectors add before the pairs is skipped. */
export function parseLine (line: string): LogEvent | null {
  const fields: Record<string, string> = {}
  for (const [, key = '', value = ''] of line.matchAll(PAIR_PATTERN)) fields[key] = unquote(value)
  const { time, event } = fields
  if (time === undefined || event === undefined) return null
  return { timeMs: Date.parse(time), event, fields, line }
}

function unquote (value: string): string {
  return value.startsWith('"') ? JSON.parse(value) as string : value
}
