import { checkConfiguration, type Finding, FindingSeverity } from './configuration-check.js'
import { compareConfigurations, type ConfigurationDifference } from './configuration-comparison.js'
import type { Configuration } from './configuration.js'

export enum ReportVerdict {
  Sound = 'sound',
  Errors = 'errors'
}

/** A configuration that was read, or why it can't be. */
export type ReadConfiguration = { configuration: Configuration } | { faults: Finding[] }

export interface ConfigurationReport {
  verdict: ReportVerdict
  findings: Finding[]
  /** Null if there is no configuration to compare with. */
  differences: ConfigurationDifference[] | null
  /** The report for a terminal. */
  text: string
}

/** Longest text of a value in a difference, in characters. */
const MAX_VALUE_LENGTH = 60

/** Reports on a configuration before it is sent; `active` is the one in force, null if it is not known. */
export function configurationReport (read: ReadConfiguration, active: Configuration | null): ConfigurationReport {
  const findings = 'faults' in read ? read.faults : checkConfiguration(read.configuration)
  const differences = 'faults' in read || active === null ? null : compareConfigurations(active, read.configuration)
  const errors = findings.filter(({ severity }) => severity === FindingSeverity.Error).length
  const lines = [
    ...findings.map(({ severity, field, found, remedy }) => `${severity}: ${field}: ${found}. ${remedy}`),
    ...(differences ?? []).map(formatDifference),
    `${errors} errors, ${findings.length - errors} warnings${differences === null ? '' : `, ${differences.length} differences, ${differences.filter(({ warning }) => warning !== null).length} of them cut off callers`}`
  ]
  return { verdict: errors > 0 ? ReportVerdict.Errors : ReportVerdict.Sound, findings, differences, text: lines.join('\n') }
}

function formatDifference ({ field, before, after, warning }: ConfigurationDifference): string {
  return `differs: ${field}: ${formatValue(before)} -> ${formatValue(after)}${warning === null ? '' : `. Warning: ${warning}`}`
}

function formatValue (value: unknown): string {
  const text = value === null ? 'none' : JSON.stringify(value)
  return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text
}
