import * as z from 'zod'

/** Unit of ages in a heartbeat, in milliseconds, so that an age fits one byte. */
const AGE_UNIT_MS = 20

const MAX_AGE_UNITS = 255

/** When an instance was last known to run, as one instance tells it to another. */
export interface LivenessEntry {
  ip: string
  ageMs: number
  ready: boolean
}

/** Sightings in columns: six bytes each, so that those of a large fleet fit one packet. */
export const livenessDigestSchema = z.object({ ips: z.instanceof(Uint32Array), ages: z.instanceof(Uint8Array), ready: z.instanceof(Uint8Array) })

export type LivenessDigest = z.infer<typeof livenessDigestSchema>

export function encodeLivenessDigest (sightings: LivenessEntry[]): LivenessDigest {
  return {
    ips: Uint32Array.from(sightings, ({ ip }) => ip.split('.').reduce((number, byte) => number * 256 + Number(byte), 0)),
    ages: Uint8Array.from(sightings, ({ ageMs }) => Math.min(MAX_AGE_UNITS, Math.ceil(ageMs / AGE_UNIT_MS))),
    ready: Uint8Array.from(sightings, ({ ready }) => ready ? 1 : 0)
  }
}

export function decodeLivenessDigest ({ ips, ages, ready }: LivenessDigest): LivenessEntry[] {
  return Array.from(ips, (number, index) => ({
    ip: [number >>> 24, (number >>> 16) & 255, (number >>> 8) & 255, number & 255].join('.'),
    ageMs: (ages[index] ?? MAX_AGE_UNITS) * AGE_UNIT_MS,
    ready: ready[index] === 1
  }))
}
