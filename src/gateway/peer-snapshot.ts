import { decode, encode } from 'cbor-x'
import type { BackendServer } from './backend.js'
import type { Configuration } from './configuration.js'
import { controlCall } from './control-call.js'
import type { Gateway } from './gateway.js'

export const SNAPSHOT_PATH = '/snapshot'

/** Longest wait for a peer's snapshot, in milliseconds; it is some tens of kilobytes from a neighbour. */
const SNAPSHOT_TIMEOUT_MS = 700

/** What one instance knows of the store, for a peer that can't reach it. */
export interface PeerSnapshot {
  revision: number
  configuration: Configuration | null
  backends: BackendServer[]
}

export function encodeSnapshot (gateway: Gateway): Buffer {
  const snapshot: PeerSnapshot = { revision: gateway.storeRevision, configuration: gateway.configuration, backends: gateway.backends.all() }
  return encode(snapshot)
}

export async function fetchSnapshot (ip: string, port: number): Promise<PeerSnapshot> {
  const { status, bytes } = await controlCall({ address: `${ip}:${port}`, method: 'GET', target: SNAPSHOT_PATH, timeoutMs: SNAPSHOT_TIMEOUT_MS })
  if (status !== 200) throw new Error(`status ${status} of ${ip}`)
  return decode(bytes) as PeerSnapshot
}
