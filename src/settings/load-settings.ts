import { readFileSync } from 'node:fs'
import type { z } from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'

/** One invalid setting: its path, the value found there and how to correct it. */
export interface SettingError {
  path: string
  found: string
  remedy: string
}

/** Reads and checks a JSON settings file. */
export function loadSettings<S extends z.ZodType> (file: string, schema: S): Result<z.infer<S>, SettingError[]> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return Err([{ path: file, found: String(error), remedy: 'Name a readable JSON file with --settings.' }])
  }
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return Err([{ path: file, found: String(error), remedy: 'Correct the JSON syntax of the file.' }])
  }
  return checkSettings(value, schema)
}

/** Checks settings that are already parsed. */
export function checkSettings<S extends z.ZodType> (value: unknown, schema: S): Result<z.infer<S>, SettingError[]> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return Ok(parsed.data)
  return Err(parsed.error.issues.map((issue) => describeIssue(issue, value)))
}

function describeIssue (issue: z.core.$ZodIssue, value: unknown): SettingError {
  const path = issue.path.length === 0 ? '(top level)' : issue.path.map(String).join('.')
  if (issue.code === 'unrecognized_keys') {
    return { path, found: `unknown fields ${issue.keys.join(', ')}`, remedy: 'Remove the fields or correct their names.' }
  }
  const found = JSON.stringify(valueAt(value, issue.path)) ?? 'nothing'
  return { path, found: found.slice(0, MAX_FOUND_LENGTH), remedy: `Set a value that fits: ${issue.message}.` }
}

/** Longest part of a value shown in an error, in characters, so that each error stays on one line. */
const MAX_FOUND_LENGTH = 80

function valueAt (value: unknown, path: PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, key) => (inner as Record<PropertyKey, unknown> | undefined)?.[key], value)
}

/** Formats the errors as text, one line each. */
export function formatFaults (errors: SettingError[]): string {
  return errors.map(({ path, found, remedy }) => `${path}: found ${found}. ${remedy}`).join('\n')
}
