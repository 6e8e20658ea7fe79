import { hash } from 'node:crypto'

/** Longest key that is hashed, in characters; longer ones are unknown without a look. */
const MAX_KEY_LENGTH = 1024

/** Hash of a caller's key. Only hashes are kept and compared, so that neither a dump nor the time of a look-up tells anything about a key. Null if the text is too long for a key. */
export function hashKey (key: string): string | null {
  return key.length > MAX_KEY_LENGTH ? null : hash('sha256', key, 'base64')
}
