import { createHash, generateKeyPairSync } from 'node:crypto'
import { type Bundle, bundleSchema } from '../../src/bundles/bundle.js'
import { encodeRoot, type SignedBundle, signRoot } from '../../src/bundles/signed-bundle.js'
import { type PartHash, splitContent } from '../../src/bundles/part.js'
import type { TrustedKey } from '../../src/settings/entry-settings.js'

/** A bundle with the given number of organisations. */
export function exampleBundle (organisations: number, changes: Record<string, unknown> = {}): Bundle {
  return bundleSchema.parse({
    models: [{ name: 'm', service: 'm' }],
    routes: [{ name: 'order', path: '/orders', method: 'POST', service: 'desk', repeatable: false }],
    classes: [{ name: 'standard', firstTokenMs: 540, perTokenMs: 77, deadlineMs: 9000, interactive: true }],
    organisations: Array.from({ length: organisations }, (_, index) => ({
      id: `shop-${index}`, keyHashes: [createHash('sha256').update(`key ${index}`).digest('hex')], class: 'standard'
    })),
    ...changes
  })
}

export interface ExampleKey {
  trusted: TrustedKey
  privateKey: string
}

export function exampleKey (id: string): ExampleKey {
  const { publicKey, privateKey } = generateKeyPairSync('ed25519')
  return {
    trusted: { id, publicKey: String(publicKey.export({ type: 'spki', format: 'pem' })), revoked: false },
    privateKey: String(privateKey.export({ type: 'pkcs8', format: 'pem' }))
  }
}

/** A signed bundle with its parts; neither is written to a store. */
export function exampleSigned (bundle: Bundle, version: number, key: ExampleKey): { signed: SignedBundle, parts: Map<PartHash, Uint8Array> } {
  const { sections, parts } = splitContent(bundle)
  const root = encodeRoot({ version, parent: version - 1, proposal: `p${version}`, author: 'a', note: '', proposedMs: 0, sections })
  return { signed: signRoot(root, key.trusted.id, key.privateKey), parts }
}
