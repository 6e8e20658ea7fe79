import * as z from 'zod'
import { callJson } from '../adapters/http-call.js'

const TIMEOUT_MS = 2000

export const instanceStatusSchema = z.strictObject({
  instance: z.string(),
  failureDomain: z.string(),
  version: z.int().nonnegative(),
  hash: z.string(),
  sinceMs: z.number(),
  ready: z.boolean()
})

/** Which version an entry instance has in force, as it reports itself; version 0 stands for none. */
export interface InstanceStatus extends z.infer<typeof instanceStatusSchema> {
  address: string
  /** Why the instance could not be asked, or empty. */
  fault: string
}

const listSchema = z.array(z.object({ labels: z.record(z.string(), z.string()) }))

/** Addresses of the operator listeners from the settings and from the instance list. */
export async function operatorAddresses (options: { operators: string[], instanceListUrl?: string | undefined }): Promise<string[]> {
  const addresses = new Set(options.operators)
  if (options.instanceListUrl !== undefined) {
    const list = await callJson({ url: options.instanceListUrl, schema: listSchema, timeoutMs: TIMEOUT_MS })
    if (list.ok) for (const { labels } of list.val) if (labels.operator_address !== undefined) addresses.add(labels.operator_address)
  }
  return [...addresses]
}

/** Asks each entry instance which version it has in force. */
export async function readInstanceStatus (addresses: string[]): Promise<InstanceStatus[]> {
  return await Promise.all(addresses.map(async (address) => {
    const answer = await callJson({ url: `http://${address}/bundle`, schema: instanceStatusSchema, timeoutMs: TIMEOUT_MS })
    if (answer.ok) return { ...answer.val, address, fault: '' }
    return { instance: '', failureDomain: '', version: 0, hash: '', sinceMs: 0, ready: false, address, fault: answer.val.detail }
  }))
}
