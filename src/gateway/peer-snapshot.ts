import { createGunzip, gzipSync } from 'node:zlib'
import { encode } from 'cbor-x'
import type { BackendServer } from './backend.js'
import type { BackendTable, MissingServer } from './backend-table.js'
import { decodeBoundedCbor, OversizeError } from './bounded-decoding.js'
import type { BufferBudget, BufferHold } from './buffer-budget.js'
import { ByteCollector } from './byte-collector.js'
import type { Configuration } from './configuration.js'
import type { DepartedServer } from './departed-servers.js'
import { sendControlRequest, type Transfer } from './control-request.js'
import { snapshotSchema } from './snapshot-schema.js'
import { comparePositions, type StorePosition } from './store-position.js'

export const SNAPSHOT_PATH = '/snapshot'

/** Content coding of snapshots; uncompressed, a configuration of a thousand routes occupies a slow link for seconds when several peers fetch it. */
export const SNAPSHOT_CODING = 'gzip'

/** The lowest gzip level already removes most of the repetition between routes, at a fraction of the processor time. */
const COMPRESSION_LEVEL = 1

/** Longest wait for the response head and for the next part of a snapshot, in milliseconds; a silent peer must leave time to ask another one. */
const SNAPSHOT_TIMEOUT_MS = 700

/** Longest transfer of a snapshot, in milliseconds. */
const SNAPSHOT_TRANSFER_TIMEOUT_MS = 2500

/** Time for which an encoded snapshot with missing servers is reused, in milliseconds: the ages in it become wrong. */
const MAX_AGE_ERROR_MS = 50

/** Time for which an encoded snapshot with departed servers is reused, in milliseconds; their ages are only compared with the start of an era. */
const MAX_DEPARTURE_AGE_ERROR_MS = 1000

/** Largest snapshot, compressed or not, in bytes: one with the largest configuration that the store accepts and a thousand servers has less than half. */
const MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024

/** Bytes of a snapshot that do not make it the exchange to end when the buffers of the process are full. */
const ALLOWANCE_BYTES = 4 * 1024 * 1024

/** The store's state as one instance has applied it, for a peer with an older state. */
export interface PeerSnapshot {
  /** Era of the store that the revision belongs to; peers of older versions send none. */
  era?: number
  revision: number
  configuration: Configuration | null
  /** The servers whose entries exist. */
  backends: BackendServer[]
  /** Servers that the instance keeps although their entries have disappeared. Peers of older versions have them among `backends`. */
  missing?: MissingServer[]
  /** Servers that have gone; peers of older versions send none. */
  departed?: DepartedServer[]
}

/** The state of an instance that its snapshots contain. */
export interface SnapshotSource {
  storePosition: StorePosition
  configuration: Configuration | null
  backends: Pick<BackendTable, 'present' | 'missing' | 'departed' | 'changeCount'>
}

/** Encodes the snapshots of one instance. An encoding is reused until the state changes, since many peers may fetch it at once. */
export class SnapshotEncoder {
  readonly #source: SnapshotSource
  #encoded: { position: StorePosition, configuration: Configuration | null, changeCount: number, expiresMs: number, plain: Buffer, compressed: Buffer } | null = null

  constructor (options: { source: SnapshotSource }) {
    this.#source = options.source
  }

  plain (): Buffer {
    return this.#current().plain
  }

  compressed (): Buffer {
    return this.#current().compressed
  }

  #current (): { plain: Buffer, compressed: Buffer } {
    const { storePosition: position, configuration, backends } = this.#source
    const { changeCount } = backends
    const last = this.#encoded
    if (last !== null && comparePositions(last.position, position) === 0 && last.configuration === configuration && last.changeCount === changeCount && performance.now() < last.expiresMs) return last
    const missing = backends.missing()
    const departed = backends.departed()
    const snapshot: PeerSnapshot = { ...position, configuration, backends: backends.present(), missing, departed }
    const plain = encode(snapshot)
    const reuseMs = missing.length > 0 ? MAX_AGE_ERROR_MS : departed.length > 0 ? MAX_DEPARTURE_AGE_ERROR_MS : Infinity
    const expiresMs = performance.now() + reuseMs
    this.#encoded = { position, configuration, changeCount, expiresMs, plain, compressed: gzipSync(plain, { level: COMPRESSION_LEVEL }) }
    return this.#encoded
  }
}

/** Rejects if the peer can't be reached, is too slow, answers with an error status, or sends something unreadable. */
export async function fetchSnapshot ({ ip, port, buffers }: { ip: string, port: number, buffers: BufferBudget }): Promise<{ snapshot: PeerSnapshot, transfer: Transfer }> {
  const hold = buffers.hold('snapshot', { allowanceBytes: ALLOWANCE_BYTES })
  try {
    const { status, headers, bytes, transfer } = await sendControlRequest({
      address: `${ip}:${port}`,
      method: 'GET',
      target: SNAPSHOT_PATH,
      headers: { 'accept-encoding': SNAPSHOT_CODING },
      timeoutMs: SNAPSHOT_TIMEOUT_MS,
      transferLimits: { stallTimeoutMs: SNAPSHOT_TIMEOUT_MS, totalTimeoutMs: SNAPSHOT_TRANSFER_TIMEOUT_MS },
      maxBytes: MAX_SNAPSHOT_BYTES,
      buffers: hold
    })
    if (status !== 200) throw new Error(`status ${status} for the snapshot request to ${ip}`)
    // Peers of older versions send snapshots uncompressed.
    const plain = headers['content-encoding'] === SNAPSHOT_CODING ? await decompress(bytes, hold) : bytes
    return { snapshot: snapshotSchema.parse(decodeBoundedCbor(plain)), transfer }
  } finally {
    hold.release()
  }
}

async function decompress (bytes: Buffer, hold: BufferHold): Promise<Buffer> {
  const plain = new ByteCollector({ onGrowth: (growth) => hold.add(growth) })
  const gunzip = createGunzip()
  gunzip.end(bytes)
  for await (const chunk of gunzip as AsyncIterable<Buffer>) {
    if (plain.length + chunk.length > MAX_SNAPSHOT_BYTES) throw new OversizeError(`snapshot over ${MAX_SNAPSHOT_BYTES} bytes`)
    if (!plain.push(chunk)) throw new Error('no memory for the snapshot')
  }
  if (!hold.add(plain.length)) throw new Error('no memory for the snapshot')
  return plain.bytes()
}
