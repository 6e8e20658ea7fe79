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

const FORMAT = 1

/** Separates signatures on bundles from signatures on anything else by the same key. */
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

/** The signed part of a bundle: its version and the addresses of its content. */
export type BundleRoot = z.infer<typeof bundleRootSchema>

export const signedBundleSchema = z.strictObject({
  /** JSON text of the root; the signature is over exactly these bytes. */
  root: z.string().max(16384),
  signature: z.strictObject({ keyId: z.string(), value: z.string() })
})

/** A root with its signature, as kept in the key-value service and passed between instances. */
export type SignedBundle = z.infer<typeof signedBundleSchema>

export interface VerifiedRoot {
  root: BundleRoot
  hash: string
}

export function encodeRoot (root: Omit<BundleRoot, 'format'>): string {
  return JSON.stringify({ format: FORMAT, ...root })
}

export function signRoot (root: string, keyId: string, privateKeyPem: string): SignedBundle {
  return { root, signature: signBytes(signedBytes(root), keyId, privateKeyPem) }
}

/** Reads a root without a check of its signature. */
export function readRoot (text: string): Result<BundleRoot, string> {
  try {
    const root = bundleRootSchema.safeParse(JSON.parse(text))
    return root.success ? Ok(root.data) : Err(`the root does not fit its schema: ${z.prettifyError(root.error)}`)
  } catch {
    return Err('the root is not JSON')
  }
}

/** Checks form and signature of a root. */
export function verifyRoot (value: unknown, trustedKeys: TrustedKey[]): Result<VerifiedRoot, string> {
  const signed = signedBundleSchema.safeParse(value)
  if (!signed.success) return Err(`not a signed root: ${z.prettifyError(signed.error)}`)
  const { root: text, signature } = signed.data
  const checked = verifySignature(signedBytes(text), signature, trustedKeys)
  if (checked.err) return Err(checked.val)
  return readRoot(text).map((root) => ({ root, hash: hashOf(Buffer.from(text)) }))
}

/** Bundles checked last, by the addresses of their content; the content of an address never changes. */
const checkedBundles = new Map<string, Bundle>()

const MAX_CHECKED_BUNDLES = 2

/** Joins the parts of a complete tree and checks the content. Parts must have been stored under their own hash. */
export function verifyContent (sections: Sections, parts: Parts): Result<Bundle, string> {
  const key = JSON.stringify(sections)
  const known = checkedBundles.get(key)
  if (known !== undefined) return Ok(known)
  let content: Record<string, unknown>
  try {
    content = joinContent(sections, parts)
  } catch (error) {
    return Err(`the content can't be read: ${error instanceof Error ? error.message : String(error)}`)
  }
  const checked = checkContent(content)
  if (checked.err) return Err(formatBundleValidationErrors(checked.val))
  checkedBundles.set(key, checked.val)
  const [oldest] = checkedBundles.keys()
  if (checkedBundles.size > MAX_CHECKED_BUNDLES && oldest !== undefined) checkedBundles.delete(oldest)
  return Ok(checked.val)
}

/** Addresses received parts by their own hash, whatever the sender claims. */
export function addressParts (parts: Uint8Array[]): Map<PartHash, Uint8Array> {
  return new Map(parts.map((bytes) => [hashOf(bytes), bytes]))
}

function signedBytes (root: string): Buffer {
  return Buffer.from(`${SIGNED_PREFIX}${root}`)
}
