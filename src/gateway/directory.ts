import type { InstanceStatus } from './instance-table.js'

/** Addresses in one answer; the platform uses no more. */
const MAX_ADDRESSES = 64

/** Instances of the caller's own failure domain that are enough to name no others. */
const ENOUGH_NEAR = 2

/** The addresses for callers in a failure domain: its own instances, or all if it has too few. */
export function addressesFor (failureDomain: string, instances: InstanceStatus[], random: () => number): string[] {
  const ready = instances.filter((instance) => instance.ready)
  const near = ready.filter((instance) => instance.failureDomain === failureDomain)
  const chosen = near.length >= ENOUGH_NEAR ? near : ready
  return chosen
    .map(({ callers }) => ({ callers, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, MAX_ADDRESSES)
    .map(({ callers }) => callers)
}
