import type { BundleOperations } from './bundle-operations.js'
import { type OperationError, operationErrorDescriptions } from '../errors/operation-error.js'
import { formatBundleValidationErrors } from '../bundles/bundle-validation-error.js'
import type { OperatorSettings } from '../settings/operator-settings.js'

/** Exit codes besides those of `operationErrorDescriptions`. */
export enum ExitCode {
  Done = 0,
  Incomplete = 1,
  Usage = 2
}

export interface CommandFlags {
  parent?: number | undefined
  author?: string | undefined
  note?: string | undefined
  key?: string | undefined
  keyId?: string | undefined
  out?: string | undefined
  limit: number
  json: boolean
  operators: string[]
}

export interface CommandContext {
  /** Arguments after the name of the command. */
  input: string[]
  flags: CommandFlags
  settings: () => OperatorSettings
  operations: () => BundleOperations
}

/** What a command prints and how it exits. */
export interface CommandOutcome {
  exitCode: number
  /** Printed as JSON with `--json`. */
  value: unknown
  text: string
}

export type Command = (context: CommandContext) => Promise<CommandOutcome>

/** A command line that can't be carried out. */
export class UsageError extends Error {}

export function done (value: unknown, text: string): CommandOutcome {
  return { exitCode: ExitCode.Done, value, text }
}

export function refused (fault: OperationError): CommandOutcome {
  const { kind, field, found, remedy, rebaseOn, faults } = fault
  const lines = [`${kind}: ${field}: ${found}. ${remedy}`]
  if (rebaseOn !== null) lines.push(`rebase on version ${rebaseOn}`)
  if (faults.length > 0) lines.push(formatBundleValidationErrors(faults))
  return { exitCode: operationErrorDescriptions[kind].exitCode, value: { error: fault }, text: lines.join('\n') }
}

export function required (value: string | undefined, name: string, remedy: string): string {
  if (value === undefined || value === '') throw new UsageError(`${name} is missing. ${remedy}`)
  return value
}

/** Aligns the columns of a table. */
export function formatTable (rows: Array<Record<string, string | number | boolean>>): string {
  const [first] = rows
  if (first === undefined) return '(none)'
  const names = Object.keys(first)
  const cells = [names, ...rows.map((row) => names.map((name) => String(row[name] ?? '')))]
  const widths = names.map((_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)))
  return cells.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
