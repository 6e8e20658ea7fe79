import * as z from 'zod'
import { RunnerRole, ServerKind, ServerState } from '../board/backend-server.js'
import type { Event } from '../core/event.js'
import { type ListedInstance, type ListedServer, ServerEventKind } from '../placement/server-event.js'
import { callJson } from './http-call.js'

/** Limit for reading the list, in ms. */
const LIST_TIMEOUT_MS = 2000

/** Value of the label `service` by which entry instances are listed. */
export const ENTRY_SERVICE = 'daisybarrow-entry'

const targetsSchema = z.array(z.object({
  targets: z.array(z.string()).min(1),
  labels: z.record(z.string(), z.string())
}))

type Target = z.infer<typeof targetsSchema>[number]

/** Reads the platform's list of instances, in the Prometheus HTTP service discovery format. */
export async function readInstanceList (url: string): Promise<Event> {
  const answer = await callJson({ url, schema: targetsSchema, timeoutMs: LIST_TIMEOUT_MS })
  if (answer.err) return { kind: ServerEventKind.InstanceListUnreadable, detail: answer.val.detail }
  const instances = answer.val.filter((target) => target.labels.service === ENTRY_SERVICE)
  const servers = answer.val.filter((target) => target.labels.service !== ENTRY_SERVICE)
  return { kind: ServerEventKind.InstanceListRead, servers: servers.map(toListedServer), instances: instances.map(toListedInstance) }
}

function toListedServer ({ targets, labels }: Target): ListedServer {
  return {
    id: labels.id ?? targets[0] ?? '',
    address: targets[0] ?? '',
    service: labels.service ?? '',
    kind: labels.kind === 'model' ? ServerKind.Model : ServerKind.Plain,
    role: Object.values(RunnerRole).find((role) => role === labels.role) ?? RunnerRole.None,
    model: labels.model ?? '',
    failureDomain: labels.failure_domain ?? '',
    region: labels.region ?? '',
    state: labels.state === 'leaving' ? ServerState.Leaving : ServerState.Live
  }
}

function toListedInstance ({ targets, labels }: Target): ListedInstance {
  return {
    id: labels.id ?? targets[0] ?? '',
    callerAddress: targets[0] ?? '',
    peerAddress: labels.peer_address ?? '',
    failureDomain: labels.failure_domain ?? '',
    region: labels.region ?? '',
    leaving: labels.state === 'leaving'
  }
}
