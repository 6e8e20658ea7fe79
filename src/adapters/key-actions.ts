import { CallActionKind } from '../calls/call-action.js'
import { CallEventKind } from '../calls/call-event.js'
import type { Event } from '../core/event.js'
import { RefusalKind } from '../errors/refusal.js'
import type { Log } from '../logs/log.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import { ClaimResult, type KeyRecorder } from './key-recorder.js'

/** Records callers' own keys and the outcomes of their calls in the key-value service. */
export function keyActions ({ recorder, emit, log }: { recorder: KeyRecorder, emit: (event: Event) => void, log: Log }): ActionHandlers {
  return {
    [CallActionKind.ClaimKey]: async ({ kind, ...claim }) => {
      const { organisation, key, nonce } = claim
      const claimed = await recorder.claim(claim)
      if (claimed.result === ClaimResult.Recorded) {
        emit({ kind: CallEventKind.KeyClaimed, organisation, key, nonce })
      } else if (claimed.result === ClaimResult.Taken) {
        const { instance, incarnation, bodyHash, outcome } = claimed.record
        emit({ kind: CallEventKind.KeyAlreadyClaimed, organisation, key, nonce, instance, incarnation, bodyHash, outcome })
      } else {
        log.warn('key_unrecorded', { organisation, detail: claimed.detail })
        emit({ kind: CallEventKind.KeyClaimFailed, organisation, key, nonce, refusal: RefusalKind.KeyStoreUnavailable })
      }
    },
    [CallActionKind.RecordOutcome]: async ({ kind, outcome, ...claim }) => {
      const written = await recorder.recordOutcome(claim, outcome)
      if (!written) log.warn('outcome_unrecorded', { organisation: claim.organisation, outcome })
    }
  }
}
