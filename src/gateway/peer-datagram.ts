import { decode, encode } from 'cbor-x'
import * as z from 'zod'
import { RunnerRole, ServerState } from './backend.js'
import { ExchangeOutcome } from './exchange-outcome.js'
import { livenessDigestSchema } from './liveness-digest.js'
import { PlacementRefusal } from './placement.js'
import { StoreChangeKind } from './platform-store.js'

export enum PeerDatagramKind {
  /** Status of the sender, addresses of other instances and their liveness. */
  Heartbeat = 'heartbeat',
  /** Requests a placement from the coordinator. */
  Place = 'place',
  /** Answers a placement request with the chosen runners. */
  Placed = 'placed',
  /** Answers that a placement request waits at the coordinator. */
  Waiting = 'waiting',
  /** Answers a placement request with a refusal. */
  Refused = 'refused',
  /** Withdraws a waiting placement request or reports that a run has ended. */
  Release = 'release',
  /** Reports the end of a prefill. */
  Prefilled = 'prefilled',
  /** Reports the progress of runs. */
  Report = 'report',
  /** Reports a runner that failed a request. */
  Failed = 'failed',
  /** Tells of parts of prompts that are suspected of crashing runners, or quarantined. */
  Suspects = 'suspects',
  /** Tells of the limits that servers name. */
  Limits = 'limits',
  /** Tells of servers that have said in their answers that they leave. */
  Leaving = 'leaving',
  /** Announces the position of the store that an instance has reached, and passes on the changes up to it. */
  StoreState = 'store-state',
  /** Requests a permit for one send to a server with a limit from the instance that keeps it. */
  Admit = 'admit',
  /** Answers a request for a permit. */
  Admitted = 'admitted',
  /** Requests units of an organisation's quota from the instance that coordinates it, tells it of units that were used, or returns some. */
  QuotaRequest = 'quota-request',
  /** Answers a request for units of a quota. */
  QuotaAnswer = 'quota-answer',
  /** Tells the instances that may follow a coordinator of the use of its organisations. */
  QuotaUse = 'quota-use',
  /** Requests a place at a server of a plain service from the coordinator of its group. */
  TakePlace = 'take-place',
  /** Answers that a request for a place waits. */
  PlaceWaits = 'place-waits',
  /** Answers a request for a place with the server. */
  PlaceTaken = 'place-taken',
  /** Answers a request for a place with a refusal. */
  PlaceRefused = 'place-refused',
  /** Returns a place, or withdraws a request for one. */
  ReturnPlace = 'return-place'
}

const instanceStatusSchema = z.object({
  ip: z.string(),
  failureDomain: z.string(),
  callers: z.string(),
  ready: z.boolean(),
  configurationVersion: z.number(),
  storeEra: z.number().optional(),
  storeRevision: z.number(),
  reachesStore: z.boolean(),
  processorShare: z.number()
})

const limitReportSchema = z.object({ server: z.string(), limitPerS: z.number().nonnegative().nullable(), ageMs: z.number() })

const outputLengthSchema = z.object({ estimateTokens: z.number().nullable(), maxTokens: z.number() })

const backendSchema = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(ServerState),
  stage: z.enum(RunnerRole),
  slots: z.number(),
  startedAtMs: z.number()
})

const relayedChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(StoreChangeKind.Backend), backend: backendSchema }),
  z.object({ kind: z.literal(StoreChangeKind.BackendRemoved), id: z.string() }),
  z.object({ kind: z.literal(StoreChangeKind.OrderRecord), service: z.string(), record: z.object({ holder: z.string(), server: z.string(), revision: z.number() }) })
])

const datagramSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(PeerDatagramKind.Heartbeat), status: instanceStatusSchema, known: z.array(z.string()), sightings: livenessDigestSchema, wantsStatus: z.boolean().optional() }),
  z.object({
    kind: z.literal(PeerDatagramKind.Place),
    request: z.object({
      id: z.string(),
      service: z.string(),
      failureDomain: z.string(),
      // Instances of older versions name neither.
      organisation: z.string().default(''),
      priority: z.number().default(0),
      promptTokens: z.number(),
      output: outputLengthSchema,
      promptId: z.string().nullable(),
      objectiveLeftMs: z.number(),
      patienceMs: z.number(),
      longestReturnMs: z.number().nullable().default(null),
      // Instances of older versions name none.
      pauses: z.array(z.object({ server: z.string(), leftMs: z.number() })).default([])
    })
  }),
  z.object({ kind: z.literal(PeerDatagramKind.Placed), id: z.string(), prefill: z.string().nullable(), decode: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Waiting), id: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Refused), id: z.string(), refusal: z.enum(PlacementRefusal), retryAfterMs: z.number(), waiting: z.number(), runs: z.number() }),
  z.object({ kind: z.literal(PeerDatagramKind.Release), id: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Prefilled), id: z.string(), tokensPerMs: z.number().nullable() }),
  z.object({
    kind: z.literal(PeerDatagramKind.Report),
    runs: z.array(z.object({ id: z.string(), service: z.string(), decode: z.string(), promptTokens: z.number(), output: outputLengthSchema, madeTokens: z.number() }))
  }),
  z.object({ kind: z.literal(PeerDatagramKind.Failed), server: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.Limits), limits: z.array(limitReportSchema) }),
  z.object({ kind: z.literal(PeerDatagramKind.Leaving), servers: z.array(z.object({ server: z.string(), ageMs: z.number() })) }),
  z.object({
    kind: z.literal(PeerDatagramKind.StoreState),
    era: z.number(),
    revision: z.number(),
    reachesStore: z.boolean(),
    // Revision that the changes continue; null if they do not fit a datagram.
    fromRevision: z.number().nullable(),
    changes: z.array(relayedChangeSchema),
    graceLeftMs: z.number().nonnegative()
  }),
  z.object({ kind: z.literal(PeerDatagramKind.Admit), id: z.string(), server: z.string(), report: limitReportSchema }),
  z.object({
    kind: z.literal(PeerDatagramKind.TakePlace),
    request: z.object({
      id: z.string(),
      service: z.string(),
      group: z.int().nonnegative(),
      failureDomain: z.string(),
      objectiveLeftMs: z.number(),
      patienceMs: z.number(),
      bytes: z.number().nonnegative(),
      excluded: z.array(z.string())
    })
  }),
  z.object({ kind: z.literal(PeerDatagramKind.PlaceWaits), id: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.PlaceTaken), id: z.string(), server: z.string() }),
  z.object({ kind: z.literal(PeerDatagramKind.PlaceRefused), id: z.string(), retryAfterMs: z.number() }),
  z.object({ kind: z.literal(PeerDatagramKind.ReturnPlace), id: z.string(), use: z.object({ outcome: z.enum(ExchangeOutcome), durationMs: z.number() }).nullable() }),
  z.object({ kind: z.literal(PeerDatagramKind.Admitted), id: z.string(), admitted: z.boolean(), waitMs: z.number() }),
  z.object({
    kind: z.literal(PeerDatagramKind.QuotaRequest),
    id: z.string(),
    organisation: z.string(),
    cost: z.number(),
    spent: z.boolean(),
    perS: z.number().nonnegative(),
    burst: z.number().nonnegative(),
    version: z.number()
  }),
  z.object({ kind: z.literal(PeerDatagramKind.QuotaAnswer), id: z.string(), granted: z.boolean(), waitMs: z.number().nonnegative().nullable() }),
  z.object({ kind: z.literal(PeerDatagramKind.QuotaUse), reports: z.array(z.object({ organisation: z.string(), fill: z.number(), profile: z.array(z.number().nonnegative()).max(64) })) }),
  z.object({
    kind: z.literal(PeerDatagramKind.Suspects),
    suspects: z.array(z.object({
      part: z.string(),
      service: z.string(),
      position: z.number(),
      crashes: z.array(z.object({ request: z.string(), sentAgeMs: z.number(), observedAgeMs: z.number() })),
      successAgeMs: z.number().nullable(),
      recentlySuccessful: z.boolean(),
      quarantineLeftMs: z.number().nullable(),
      quarantines: z.number()
    }))
  })
])

/** A message between instances. Each message fits one datagram and may be lost. */
export type PeerDatagram = z.infer<typeof datagramSchema>

export function encodeDatagram (message: PeerDatagram): Buffer {
  return encode(message)
}

/** Decodes a received datagram; null if it is not a message of this system. */
export function decodeDatagram (bytes: Buffer): PeerDatagram | null {
  try {
    const parsed = datagramSchema.safeParse(decode(bytes))
    return parsed.success ? parsed.data : null
  } catch {
    // cbor-x throws on invalid bytes; the caller logs the dropped datagram.
    return null
  }
}
