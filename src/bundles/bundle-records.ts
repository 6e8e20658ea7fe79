import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import { signedBundleSchema } from './signed-bundle.js'

export const ROOT_PREFIX = 'daisybarrow/bundle/root/'
export const PROPOSAL_PREFIX = 'daisybarrow/bundle/proposal/'
export const PART_PREFIX = 'daisybarrow/bundle/part/'

/** Key of the record that lists the parts that the last sweep found unused. */
export const UNUSED_KEY = 'daisybarrow/bundle/unused'

/** Number of decimal digits of a version in a key; versions are padded with zeros so that keys sort in version order. */
const VERSION_DIGITS = 12

const partHash = z.string().regex(/^[0-9a-f]{64}$/)

/** The record stored under the head key and under the key of each version. */
export const headRecordSchema = z.strictObject({
  ...signedBundleSchema.shape,
  /** Parts that the parent version does not have, so that a reader fetches them in one call. This is only a hint, since it is not signed. */
  fresh: z.array(partHash),
  /** Content of the `fresh` parts in base64 if it is small, so that a reader needs no further call to the service; otherwise empty. */
  parts: z.array(z.string()).default([])
})

export type HeadRecord = z.infer<typeof headRecordSchema>

export const proposalRecordSchema = z.strictObject({
  root: z.string(),
  fresh: z.array(partHash),
  /** Version under which the proposal was signed; null while it is unsigned. */
  accepted: z.int().positive().nullable()
})

export type ProposalRecord = z.infer<typeof proposalRecordSchema>

export const unusedRecordSchema = z.strictObject({
  sinceMs: z.int(),
  /** Revisions of the unused parts by hash. */
  parts: z.record(z.string(), z.int())
})

export function rootKey (version: number): string {
  return `${ROOT_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`
}

export function proposalKey (id: string): string {
  return `${PROPOSAL_PREFIX}${id}`
}

export function partKey (hash: string): string {
  return `${PART_PREFIX}${hash}`
}

export function encodeRecord (record: unknown): Buffer {
  return Buffer.from(JSON.stringify(record))
}

export function decodeRecord<S extends z.ZodType> (value: Uint8Array, schema: S): Result<z.infer<S>, string> {
  try {
    const record = schema.safeParse(JSON.parse(Buffer.from(value).toString('utf8')))
    return record.success ? Ok(record.data) : Err(z.prettifyError(record.error))
  } catch {
    return Err('the record is not JSON')
  }
}
