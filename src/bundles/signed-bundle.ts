import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import type { Bundle } from './bundle.js'
import { formatBundleValidationErrors } from './bundle-validation-error.js'
import { checkContent } from './check-bundle.js'
import { hashOf, type PartHash, type Parts, type Sections } from './part.js'
import { joinContent } from './part-tree.js'
import { signBytes, verifySignature } from './signature.js'

/** Key of the head record in the key-value service. */
export const HEAD_KEY = 'daisybarrow/bundle/head'

/** Version of the root's format. */
const FORMAT = 1

/** Prefix of the signed bytes, so that a signature on anything else by the same key is not valid for a bundle. */
const SIGNED_PREFIX = 'daisybarrow-bundle\n'

const partHash = z.string().regex(/^[0-9a-f]{64}$/)

export const bundleRootSchema = z.strictObject({
  format: z.literal(FORMAT),
  version: z.int().positive(),
  parent: z.int().nonnegative(),
  proposal: z.string().min(1),
  author: z.string(),
  note: z.string(),
  proposedMs: z.int().nonnegative(),
  sections: z.record(z.string(), partHash)
})

/** The signed root of a bundle: its version, its origin and the hashes of its content. */
export type BundleRoot = z.infer<typeof bundleRootSchema>

export const signedBundleSchema = z.strictObject({
  /** JSON text of the root. The signature covers exactly this text, so it must not be encoded again. */
  root: z.string().max(16384),
  signature: z.strictObject({ keyId: z.string(), value: z.string() })
})

/** A root with its signature, as stored in the key-value service and sent between instances. */
export type SignedBundle = z.infer<typeof signedBundleSchema>

export interface VerifiedRoot {
  root: BundleRoot
  /** SHA-256 hash of the root's JSON text in hex. */
  hash: string
}

export function encodeRoot (root: Omit<BundleRoot, 'format'>): string {
  return JSON.stringify({ format: FORMAT, ...root })
}

export function signRoot (root: string, keyId: string, privateKeyPem: string): SignedBundle {
  return { root, signature: signBytes(signedBytes(root), keyId, privateKeyPem) }
}

/** Parses a root without verifying its signature. */
export function readRoot (text: string): Result<BundleRoot, string> {
  try {
    const root = bundleRootSchema.safeParse(JSON.parse(text))
    return root.success ? Ok(root.data) : Err(`the root does not fit its schema: ${z.prettifyError(root.error)}`)
  } catch {
    return Err('the root is not JSON')
  }
}

/** Checks the schema and the signature of a root. */
export function verifyRoot (value: unknown, trustedKeys: TrustedKey[]): Result<VerifiedRoot, string> {
  const signed = signedBundleSchema.safeParse(value)
  if (!signed.success) return Err(`not a signed root: ${z.prettifyError(signed.error)}`)
  const { root: text, signature } = signed.data
  const checked = verifySignature(signedBytes(text), signature, trustedKeys)
  if (checked.err) return Err(checked.val)
  return readRoot(text).map((root) => ({ root, hash: hashOf(Buffer.from(text)) }))
}

/** The bundles checked last, by the hashes of their sections; equal hashes mean equal content. */
const cachedBundles = new Map<string, Bundle>()

const MAX_CACHED_BUNDLES = 2

/** Joins the parts of a complete tree and checks the content. The caller must have stored each part under its own hash. */
export function verifyContent (sections: Sections, parts: Parts): Result<Bundle, string> {
  const key = JSON.stringify(sections)
  const cached = cachedBundles.get(key)
  if (cached !== undefined) return Ok(cached)
  let content: Record<string, unknown>
  try {
    content = joinContent(sections, parts)
  } catch (error) {
    return Err(`the content can't be read: ${error instanceof Error ? error.message : String(error)}`)
  }
  const checked = checkContent(content)
  if (checked.err) return Err(formatBundleValidationErrors(checked.val))
  cachedBundles.set(key, checked.val)
  const [oldest] = cachedBundles.keys()
  if (cachedBundles.size > MAX_CACHED_BUNDLES && oldest !== undefined) cachedBundles.delete(oldest)
  return Ok(checked.val)
}

/** Maps received parts by a hash computed here, so that the sender can't pass off one part as another. */
export function partsByHash (parts: Uint8Array[]): Map<PartHash, Uint8Array> {
  return new Map(parts.map((bytes) => [hashOf(bytes), bytes]))
}

function signedBytes (root: string): Buffer {
  return Buffer.from(`${SIGNED_PREFIX}${root}`)
}
