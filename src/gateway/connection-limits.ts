import { readFileSync } from 'node:fs'
import { CONNECTION_BYTES } from './connection-budget.js'
import type { GatewaySettings } from './gateway-settings.js'

const MS_PER_SECOND = 1000
const BYTES_PER_MB = 1024 * 1024

/** Bounds of the connections of one listener. */
export interface ConnectionLimits {
  connections: number
  /** Memory that all connections may occupy beside bodies and answers, in bytes. */
  bytes: number
  /** Received bytes of all connections that may wait to be parsed. */
  pendingBytes: number
  /** Time after which a connection is closed whose caller reads nothing of its complete answers, in milliseconds. */
  unreadMs: number
}

/** Listeners with limits of their own. */
export enum ListenerName {
  Callers = 'callers',
  Readiness = 'readiness',
  Directory = 'directory'
}

interface ListenerShare {
  /** Share of the memory of the instance. */
  memory: number
  /** Share of the descriptors of the process; the rest is for connections to servers, the store and other instances. */
  descriptors: number
}

const shares: Record<ListenerName, ListenerShare> = {
  [ListenerName.Callers]: { memory: 0.15, descriptors: 0.6 },
  [ListenerName.Readiness]: { memory: 0.01, descriptors: 0.05 },
  [ListenerName.Directory]: { memory: 0.05, descriptors: 0.15 }
}

/** Share of a listener's memory for bytes that wait to be parsed. */
const PENDING_SHARE = 0.1

/** Smallest memory for a listener, in bytes: some requests with the largest head have room. */
const MIN_BYTES = 2 * BYTES_PER_MB

/** Descriptors that a process may open if its limit can't be read, as on most systems. */
const USUAL_DESCRIPTORS = 1024

interface LimitOptions {
  memoryMb: number
  /** Descriptors that the process may open. */
  descriptors?: number
  /** Bounds from the settings. */
  connections: GatewaySettings['connections']
}

/** Limits of a listener on an instance with this much memory. */
export function connectionLimits (listener: ListenerName, { memoryMb, descriptors = descriptorLimit(), connections }: LimitOptions): ConnectionLimits {
  const share = shares[listener]
  const bytes = Math.max(MIN_BYTES, share.memory * memoryMb * BYTES_PER_MB)
  const max = Math.min(connections[listener] ?? Infinity, share.descriptors * descriptors, bytes / CONNECTION_BYTES)
  return { connections: Math.floor(max), bytes, pendingBytes: PENDING_SHARE * bytes, unreadMs: connections.unreadS * MS_PER_SECOND }
}

/** Largest number of descriptors that this process may open. */
function descriptorLimit (): number {
  try {
    return Number(/^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1] ?? USUAL_DESCRIPTORS)
  } catch {
    return USUAL_DESCRIPTORS
  }
}
