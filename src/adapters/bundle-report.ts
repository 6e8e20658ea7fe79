import type { InstanceStatus } from '../admin/instance-status.js'
import type { Board } from '../board/board.js'

/** Reports the instance's active bundle for `daisybarrow status`; version 0 and an empty hash if there is none. */
export function bundleReport ({ self, bundle }: Board, ready: boolean): Omit<InstanceStatus, 'address' | 'fault'> {
  return {
    instance: self.id,
    failureDomain: self.failureDomain,
    version: bundle?.version ?? 0,
    hash: bundle?.hash ?? '',
    sinceMs: bundle?.sinceMs ?? 0,
    ready
  }
}
