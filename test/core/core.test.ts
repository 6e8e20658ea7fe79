import { expect, test } from '@jest/globals'
import { createBoard } from '../../src/board/board.js'
import { BundleEventKind } from '../../src/bundles/bundle-event.js'
import type { Controller } from '../../src/core/controller.js'
import { Core } from '../../src/core/core.js'
import { CoreActionKind } from '../../src/core/core-action.js'
import { DrainEventKind } from '../../src/drain/drain-event.js'

const self = { id: 'e', incarnation: 'i', failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '' }
const context = { nowMs: 0, random: () => 0, nextId: () => 'id' }

test('guards against a lost internal event: an emitted event reaches every controller before step returns', () => {
  const seen: string[] = []
  const first: Controller = {
    name: 'first',
    handlers: {
      [DrainEventKind.DrainRequested]: () => [{ kind: CoreActionKind.Emit, event: { kind: BundleEventKind.BundleTick } }],
      [BundleEventKind.BundleTick]: () => { seen.push('first'); return [] }
    }
  }
  const second: Controller = {
    name: 'second',
    handlers: { [BundleEventKind.BundleTick]: () => { seen.push('second'); return [{ kind: CoreActionKind.Log, name: 'seen', fields: {} }] } }
  }
  const core = new Core({ board: createBoard({ self }), controllers: [first, second] })
  expect(core.step({ kind: DrainEventKind.DrainRequested }, context)).toEqual([{ kind: CoreActionKind.Log, name: 'seen', fields: {} }])
  expect(seen).toEqual(['first', 'second'])
})
