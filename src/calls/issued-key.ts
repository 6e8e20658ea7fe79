/** A request key that an entry instance issued to a caller along with the addresses of the fleet. */
export interface IssuedKey {
  instance: string
  incarnation: string
  number: number
  /** Proves that the incarnation issued the number to the organisation. */
  tag: string
}

const ISSUED_KEY_PREFIX = 'db1'

const TAG_PATTERN = /^[0-9a-f]{16}$/

export function formatIssuedKey ({ instance, incarnation, number, tag }: IssuedKey): string {
  return [ISSUED_KEY_PREFIX, encodeURIComponent(instance).replaceAll('.', '%2E'), incarnation, number, tag].join('.')
}

/** Whether the key has the prefix of system-issued keys, which callers' own keys may not have. */
export function hasIssuedPrefix (key: string): boolean {
  return key === ISSUED_KEY_PREFIX || key.startsWith(`${ISSUED_KEY_PREFIX}.`)
}

/** Parses a system-issued key; returns null for a key that no instance can have issued. */
export function parseIssuedKey (key: string): IssuedKey | null {
  const [prefix, instance, incarnation, number, tag, ...rest] = key.split('.')
  if (prefix !== ISSUED_KEY_PREFIX || rest.length > 0) return null
  if (instance === undefined || incarnation === undefined || !TAG_PATTERN.test(tag ?? '') || !/^\d{1,15}$/.test(number ?? '')) return null
  const decoded = decodeComponent(instance)
  if (decoded === null) return null
  const parsed = { instance: decoded, incarnation, number: Number(number), tag: tag ?? '' }
  // Rejects other spellings of an issued key, since each would act as a separate key with the same number.
  return formatIssuedKey(parsed) === key ? parsed : null
}

function decodeComponent (text: string): string | null {
  try {
    return decodeURIComponent(text)
  } catch {
    return null
  }
}
