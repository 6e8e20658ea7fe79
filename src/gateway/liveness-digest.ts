import * as z from 'zod'

/** Unit of ages in a heartbeat, in milliseconds; keeps an age within one byte. */
const AGE_UNIT_MS = 20

/** Largest age in a heartbeat, in units of AGE_UNIT_MS: the largest value of a byte. */
const MAX_AGE_UNITS = 255

/** When an instance was last known to run, as passed on between instances. */
export interface LivenessEntry {
  ip: string
  ageMs: number
  ready: boolean
}

/** Liveness entries stored by column, six bytes for each entry, so that those of a large fleet fit one packet. */
export const livenessDigestSchema = z.object({ ips: z.instanceof(Uint32Array), ages: z.instanceof(Uint8Array), ready: z.instanceof(Uint8Array) })

export type LivenessDigest = z.infer<typeof livenessDigestSchema>

/** Ages are rounded up to full units and cut off at the largest age. */
export function encodeLivenessDigest (entries: LivenessEntry[]): LivenessDigest {
  return {
    ips: Uint32Array.from(entries, ({ ip }) => ip.split('.').reduce((number, byte) => number * 256 + Number(byte), 0)),
    ages: Uint8Array.from(entries, ({ ageMs }) => Math.min(MAX_AGE_UNITS, Math.ceil(ageMs / AGE_UNIT_MS))),
    ready: Uint8Array.from(entries, ({ ready }) => ready ? 1 : 0)
  }
}

export function decodeLivenessDigest ({ ips, ages, ready }: LivenessDigest): LivenessEntry[] {
  return Array.from(ips, (number, index) => ({
    ip: [number >>> 24, (number >>> 16) & 255, (number >>> 8) & 255, number & 255].join('.'),
    ageMs: (ages[index] ?? MAX_AGE_UNITS) * AGE_UNIT_MS,
    ready: ready[index] === 1
  }))
}
