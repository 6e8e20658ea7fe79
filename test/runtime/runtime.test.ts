import { expect, test } from '@jest/globals'
import { createBoard } from '../../src/board/board.js'
import { BundleEventKind } from '../../src/bundles/bundle-event.js'
import type { Controller } from '../../src/core/controller.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind } from '../../src/core/core-action.js'
import { DrainEventKind } from '../../src/drain/drain-event.js'
import { Runtime } from '../../src/runtime/runtime.js'

const self = { id: 'e', incarnation: 'i', failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '' }

test('guards against a lost event: one that an action handler emits synchronously is handled too, in order', async () => {
  const seen: string[] = []
  const controller: Controller = {
    name: 'recorder',
    handlers: {
      [DrainEventKind.DrainRequested]: () => { seen.push('asked'); return [{ kind: CoreActionKind.Log, name: 'answer', fields: {} }] },
      [BundleEventKind.BundleTick]: () => { seen.push('tick'); return [] },
      [DrainEventKind.DrainTick]: () => { seen.push('answered'); return [] }
    }
  }
  const runtime: Runtime = new Runtime({
    core: new Core({ board: createBoard({ self }), controllers: [controller] }),
    handlers: { [CoreActionKind.Log]: () => runtime.emit({ kind: DrainEventKind.DrainTick }) },
    random: () => 0,
    nextId: () => 'id',
    onError: (detail) => seen.push(detail)
  })
  runtime.start()
  await new Promise((resolve) => { setTimeout(resolve, 10) })
  runtime.emit({ kind: DrainEventKind.DrainRequested })
  runtime.emit({ kind: BundleEventKind.BundleTick })
  await new Promise((resolve) => { setTimeout(resolve, 20) })
  expect(seen).toEqual(['asked', 'tick', 'answered'])
})
