import * as z from 'zod'
import { PlacementPolicy } from '../board/board.js'
import { listenerSchema, peerListenerSchema } from './listener.js'

const trustedKey = z.strictObject({
  id: z.string().min(1).describe('Name of the key, as in signatures'),
  publicKey: z.string().min(1).describe('Ed25519 public key, PEM'),
  revoked: z.boolean().default(false).describe('Refuse signatures by this key')
})

export const trustedKeysSchema = z.array(trustedKey).min(1).describe('Keys whose signatures on bundles are accepted')

/** Settings of `daisybarrow-entry`. */
export const entrySettingsSchema = z.strictObject({
  id: z.string().min(1).describe('Id of this entry instance, as in the instance list'),
  failureDomain: z.string().min(1).describe('Failure domain of this instance'),
  region: z.string().min(1).describe('Region of this instance'),
  callers: listenerSchema.describe('Listener for callers'),
  peers: peerListenerSchema.describe('Listener for other entry instances'),
  operators: listenerSchema.describe('Listener for metrics, state and health'),
  keyValueUrl: z.url().describe('Base URL of the key-value service'),
  instanceListUrl: z.url().describe('URL of the instance list'),
  instanceListPeriodMs: z.int().positive().default(1000).describe('Period of reading the instance list, in milliseconds'),
  loadPeriodMs: z.int().positive().default(250).describe('Period of reading load reports, in milliseconds'),
  bundlePeriodMs: z.int().positive().default(1000).describe('Period of asking for a newer bundle, in milliseconds'),
  placement: z.enum(PlacementPolicy).default(PlacementPolicy.Reserved).describe('Placement policy'),
  addressLifetimeMs: z.int().positive().default(5000).describe('How long callers may keep an address answer, in milliseconds'),
  drainLimitMs: z.int().positive().default(120000).describe('Longest shutdown before the process exits with work in flight, in milliseconds'),
  maxBodyBytes: z.int().positive().default(8 * 1024 * 1024).describe('Largest body of a request, in bytes'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level of log lines written'),
  trustedKeys: trustedKeysSchema
})

export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type TrustedKey = z.infer<typeof trustedKey>
