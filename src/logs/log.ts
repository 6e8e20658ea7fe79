import { type ConsolaInstance, createConsola, LogLevels } from 'consola'

export type LogFields = Record<string, string | number | boolean>

export type LogLevel = 'debug' | 'error' | 'info' | 'warn'

/** Writes one line of key=value pairs for each event. */
export interface Log {
  debug: (event: string, fields?: LogFields) => void
  info: (event: string, fields?: LogFields) => void
  warn: (event: string, fields?: LogFields) => void
  error: (event: string, fields?: LogFields) => void
}

/** Formats a value; quotes it if it is empty or contains spaces, quotes or equals signs. */
export function formatField (value: string | number | boolean): string {
  const text = String(value)
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)
}

export function formatLine (level: LogLevel, event: string, fields: LogFields, nowMs: number): string {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${formatField(value)}`)
  return [`time=${new Date(nowMs).toISOString()}`, `level=${level}`, `event=${formatField(event)}`, ...pairs].join(' ')
}

/** Creates a log that adds `fields` to each line; it writes to stderr unless `write` is given. */
export function createLog (options: { level?: LogLevel, fields?: LogFields, write?: (line: string) => void } = {}): Log {
  const write = options.write ?? ((line: string) => { process.stderr.write(`${line}\n`) })
  const consola: ConsolaInstance = createConsola({
    level: LogLevels[options.level ?? 'info'],
    reporters: [{ log: (entry) => write(String(entry.args[0])) }]
  })
  const logMethod = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
    consola[level](formatLine(level, event, { ...options.fields, ...fields }, Date.now()))
  }
  return { debug: logMethod('debug'), info: logMethod('info'), warn: logMethod('warn'), error: logMethod('error') }
}
