import type { Action, ActionKind, ActionOf } from '../../src/core/action.js'
import type { Controller, Handler } from '../../src/core/controller.js'
import { controllers } from '../../src/core/controllers.js'
import type { EventKind } from '../../src/core/event.js'
import { BundleEventKind } from '../../src/bundles/bundle-event.js'
import { CallActionKind } from '../../src/calls/call-action.js'
import { DrainActionKind } from '../../src/drain/drain-action.js'
import { DrainEventKind } from '../../src/drain/drain-event.js'
import { RefusalKind } from '../../src/errors/refusal.js'
import { Guarantee } from '../../src/history/violation.js'
import { MemberEventKind } from '../../src/members/member-event.js'
import { ServerState } from '../../src/board/backend-server.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { RequestEventKind } from '../../src/requests/request-event.js'

type Rewrites = { [K in ActionKind]?: (action: ActionOf<K>) => Action[] }

/** Runs the controllers' own handlers and rewrites the actions they return. */
function rewriting (rewrites: Rewrites): Controller[] {
  const apply = (action: Action): Action[] => {
    const rewrite = rewrites[action.kind] as ((action: Action) => Action[]) | undefined
    return rewrite === undefined ? [action] : rewrite(action)
  }
  return controllers.map((controller) => ({
    name: controller.name,
    handlers: Object.fromEntries(Object.entries(controller.handlers).map(([event, handler]) => {
      const original = handler as Handler<EventKind>
      const changed: Handler<EventKind> = (board, value, context) => original(board, value, context).flatMap(apply)
      return [event, changed]
    })) as Controller['handlers']
  }))
}

function withFirst (handlers: Controller['handlers']): Controller[] {
  return [{ name: 'defect', handlers }, ...controllers]
}

/** One faulty set of controllers for each guarantee. */
export const plantedDefects: Record<Guarantee, Controller[]> = {
  [Guarantee.NoHeldMemory]: rewriting({ [RequestActionKind.CancelWork]: () => [] }),
  [Guarantee.OneAnswer]: rewriting({
    [CallActionKind.RefuseCall]: (action) => action.refusal === RefusalKind.Superseded ? [] : [action],
    [CallActionKind.AnswerCall]: (action) => [{ ...action, call: action.source }, action]
  }),
  [Guarantee.WholeAnswer]: withFirst({
    [RequestEventKind.DecodeProgress]: (_board, { request, tokens }) => [{ kind: RequestActionKind.AnswerRequest, request, tokens }]
  }),
  [Guarantee.TruthfulRefusal]: rewriting({ [CallActionKind.RefuseCall]: (action) => [{ ...action, refusal: RefusalKind.NoServer }] }),
  [Guarantee.AtMostOnce]: rewriting({ [CallActionKind.SendCall]: (action) => [action, action] }),
  [Guarantee.LeavingServer]: withFirst({
    [ServerEventKind.InstanceListRead]: (_board, { servers }) => {
      for (const server of servers) server.state = ServerState.Live
      return []
    }
  }),
  [Guarantee.GracefulShutdown]: withFirst({ [DrainEventKind.DrainRequested]: () => [{ kind: DrainActionKind.Exit }] }),
  [Guarantee.BundleInForce]: controllers.map((controller) => controller.name === 'bundles' ? deafTo(controller, 'entry-2') : controller),
  [Guarantee.BundleNeverReverts]: withFirst({
    [MemberEventKind.MemberTick]: (board, _event, { nowMs }) => {
      if (board.bundle !== null && nowMs > REVERT_MS) board.bundle.version = 1
      return []
    }
  }),
  [Guarantee.Settled]: rewriting({ [RequestActionKind.RefuseRequest]: () => [] })
}

const REVERT_MS = 16000

/** A bundle controller that does not hear of a second version on one instance. */
function deafTo (controller: Controller, instance: string): Controller {
  const original = controller.handlers[BundleEventKind.BundleVerified]
  return {
    ...controller,
    handlers: {
      ...controller.handlers,
      [BundleEventKind.BundleVerified]: (board, event, context) => {
        if (board.self.id === instance && event.version > 1) return []
        return original?.(board, event, context) ?? []
      }
    }
  }
}
