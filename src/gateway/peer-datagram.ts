import { decode, encode } from 'cbor-x'
import * as z from 'zod'
import { PlacementRefusal } from './placement.js'
import { livenessDigestSchema } from './liveness-digest.js'

export enum PeerDatagramKind {
  Heartbeat = 'heartbeat',
  Place = 'place',
  Placed = 'placed',
  Waiting = 'waiting',
  Refused = 'refused',
  Release = 'release',
  Prefilled = 'prefilled',
  Report = 'report',
  Failed = 'failed'
}

const instanceStatus = z.object({
  ip: z.string(),
  failureDomain: z.string(),
  callers: z.string(),
  ready: z.boolean(),
  configurationVersion: z.number(),
  storeRevision: z.number(),
  reachesStore: z.boolean(),
  processorShare: z.number()
})

const output = z.object({ estimateTokens: z.number().nullable(), maxTokens: z.number() })

const datagram = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(PeerDatagramKind.Heartbeat), status: instanceStatus, known: z.array(z.string()), sightings: livenessDigestSchema }),
  z.object({
    kind: z.literal(PeerDatagramKind.Place),
    request: z.object({
      id: z.string(),
      service: z.string(),
      failureDomain: z.string(),
      promptTokens: z.number(),
      output,
      promptId: z.string().nullable(),
      objectiveLeftMs: z.number(),
      patienceMs: z.number()
    })
  }),
  z.object({ kind: z.literal(PeerDatagramKind.Placed), id: z.string(), prefill: z.string().nullable(), decode: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Waiting), id: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Refused), id: z.string(), refusal: z.enum(PlacementRefusal), retryAfterMs: z.number(), waiting: z.number(), runs: z.number() }),
  z.object({ kind: z.literal(PeerDatagramKind.Release), id: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Prefilled), id: z.string(), tokensPerMs: z.number().nullable() }),
  z.object({
    kind: z.literal(PeerDatagramKind.Report),
    runs: z.array(z.object({ id: z.string(), service: z.string(), decode: z.string(), promptTokens: z.number(), output, madeTokens: z.number() }))
  }),
  z.object({ kind: z.literal(PeerDatagramKind.Failed), server: z.string() })
])

/** A message between instances. Each fits one datagram and may be lost. */
export type PeerDatagram = z.infer<typeof datagram>

export function encodeDatagram (message: PeerDatagram): Buffer {
  return encode(message)
}

/** Null for bytes that are no message of this system. */
export function decodeDatagram (bytes: Buffer): PeerDatagram | null {
  try {
    const parsed = datagram.safeParse(decode(bytes))
    return parsed.success ? parsed.data : null
  } catch {
    // cbor-x throws on foreign bytes; the caller counts what it drops.
    return null
  }
}
