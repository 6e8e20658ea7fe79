import type { Payloads } from '../adapters/payloads.js'
import { CallActionKind } from '../calls/call-action.js'
import type { ActionKind, ActionOf } from '../core/action.js'
import { RequestActionKind } from '../requests/request-action.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import type { Metrics } from './metrics.js'

const MS_PER_SECOND = 1000

/** Wraps handlers so that answers and refusals are counted in the metrics before the action is passed to its handler. */
export function countActions (handlers: ActionHandlers, { metrics, payloads }: { metrics: Metrics, payloads: Payloads }): ActionHandlers {
  return {
    ...handlers,
    [RequestActionKind.AnswerRequest]: counted(handlers, RequestActionKind.AnswerRequest, ({ request }) => {
      metrics.answers.inc({ kind: 'model' })
      const payload = payloads.get(request)
      if (payload?.firstTokenMs !== undefined) metrics.firstToken.observe({ model: payload.model }, (payload.firstTokenMs - payload.arrivedMs) / MS_PER_SECOND)
    }),
    [RequestActionKind.RefuseRequest]: counted(handlers, RequestActionKind.RefuseRequest, ({ refusal }) => metrics.refusals.inc({ kind: refusal })),
    [CallActionKind.AnswerCall]: counted(handlers, CallActionKind.AnswerCall, () => metrics.answers.inc({ kind: 'plain' })),
    [CallActionKind.RefuseCall]: counted(handlers, CallActionKind.RefuseCall, ({ refusal }) => metrics.refusals.inc({ kind: refusal }))
  }
}

function counted<K extends ActionKind> (handlers: ActionHandlers, kind: K, count: (action: ActionOf<K>) => void): (action: ActionOf<K>) => Promise<void> | void {
  const handler = handlers[kind] as ((action: ActionOf<K>) => Promise<void> | void) | undefined
  return (action) => {
    count(action)
    return handler?.(action)
  }
}
