import * as z from 'zod'
import { listenerSchema } from './listener.js'
import { operatorFields } from './operator-settings.js'

/** What a caller of the administration API may do. */
export enum AdminRole {
  Read = 'read',
  Propose = 'propose',
  Sign = 'sign'
}

const adminCaller = z.strictObject({
  name: z.string().min(1).describe('Name in the audit log and as author of proposals'),
  keyHash: z.string().regex(/^[0-9a-f]{64}$/).describe('SHA-256 hash of the bearer key, in hex'),
  roles: z.array(z.enum(AdminRole)).min(1).describe('What the caller may do: read, propose, sign')
})

/** Settings of `daisybarrow-admin`. */
export const adminSettingsSchema = z.strictObject({
  ...operatorFields,
  listener: listenerSchema.describe('Listener of the administration API'),
  callers: z.array(adminCaller).min(1).describe('Callers of the administration API'),
  maxBodyBytes: z.int().positive().default(64 * 1024 * 1024).describe('Largest body of a request, in bytes'),
  sweepPeriodMs: z.int().positive().default(3600 * 1000).describe('Period of removing unused parts, in milliseconds'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level of log lines written')
})

export type AdminSettings = z.infer<typeof adminSettingsSchema>
export type AdminCaller = z.infer<typeof adminCaller>
