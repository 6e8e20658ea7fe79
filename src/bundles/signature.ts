import { createPrivateKey, createPublicKey, sign, verify } from 'node:crypto'
import { Err, Ok, type Result } from '../errors/result.js'
import type { TrustedKey } from '../settings/entry-settings.js'

/** A signature with the id of its key. */
export interface Signature {
  keyId: string
  /** Base64. */
  value: string
}

export function signBytes (bytes: Uint8Array, keyId: string, privateKeyPem: string): Signature {
  const value = sign(null, bytes, createPrivateKey(privateKeyPem)).toString('base64')
  return { keyId, value }
}

/** Verifies a signature against the trusted keys; the error is the reason for which it is rejected. */
export function verifySignature (bytes: Uint8Array, signature: Signature, trustedKeys: TrustedKey[]): Result<void, string> {
  const key = trustedKeys.find((trusted) => trusted.id === signature.keyId)
  if (key === undefined) return Err(`the key ${signature.keyId} is not among the trusted keys`)
  if (key.revoked) return Err(`the key ${signature.keyId} is revoked`)
  const valid = verify(null, bytes, createPublicKey(key.publicKey), Buffer.from(signature.value, 'base64'))
  return valid ? Ok(undefined) : Err(`the signature by ${signature.keyId} does not fit the bundle`)
}
