import type { InstanceStatus } from './instance-table.js'

/** Maximum number of addresses in one answer; the platform uses no more. */
const MAX_ADDRESSES = 64

/** Minimum number of ready instances in the caller's failure domain for which only these are listed. */
const MIN_LOCAL_INSTANCES = 2

/** Addresses for callers in a failure domain, in random order: those of the ready instances there, or of all ready instances if there are fewer than MIN_LOCAL_INSTANCES. */
export function addressesFor (failureDomain: string, instances: InstanceStatus[], random: () => number): string[] {
  const ready = instances.filter((instance) => instance.ready)
  const local = ready.filter((instance) => instance.failureDomain === failureDomain)
  const chosen = local.length >= MIN_LOCAL_INSTANCES ? local : ready
  return chosen
    .map(({ callers }) => ({ callers, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_ADDRESSES)
    .map(({ callers }) => callers)
}
