import { describe, expect, test } from '@jest/globals'
import { type PlatformStore, type StoreChange, StoreChangeKind, type StoreError, StoreErrorKind, type StoreListing } from '../../src/gateway/platform-store.js'
import { StoreWatcher } from '../../src/gateway/store-watcher.js'
import { recordingLog } from './gateway-fixtures.js'

const unreachable: StoreError = { kind: StoreErrorKind.Unreachable, detail: 'down' }
const historyLost: StoreError = { kind: StoreErrorKind.HistoryLost, detail: 'compacted' }

/** Follows a store whose watches give the scripted results in turn and then wait for ever. */
async function follow (watches: Array<StoreListing | StoreError>, { listed = [], announcements = [] }: { listed?: StoreChange[], announcements?: Array<StoreError | null> } = {}): Promise<{ events: string[], announced: number, lines: string[] }> {
  const events: string[] = []
  let announced = 0
  let revision = 10
  let finish = (): void => {}
  const played = new Promise<void>((resolve) => { finish = resolve })
  const store: PlatformStore = {
    list: () => Promise.resolve({ revision: revision++, changes: listed }),
    watch: (after) => {
      events.push(`watch after ${after}`)
      const result = watches.shift()
      if (result !== undefined) return Promise.resolve(result)
      finish()
      return new Promise(() => {})
    },
    announce: () => {
      announced += 1
      return Promise.resolve(announcements.shift() ?? null)
    },
    recordOrder: () => Promise.resolve({ revision: 1 })
  }
  const log = recordingLog()
  const follower = new StoreWatcher({
    store,
    ip: '1',
    log,
    random: () => 0,
    onListing: (listing) => events.push(`listing ${listing.revision}`),
    onChange: (change: StoreChange, at) => events.push(`${change.kind} ${at}`),
    onContact: (reached) => events.push(reached ? 'reached' : 'lost')
  })
  follower.run().catch((error: unknown) => events.push(String(error)))
  await played
  return { events, announced, lines: log.lines }
}

describe('StoreWatcher', () => {
  test('follows from the revision of the listing on', async () => {
    const { events, announced } = await follow([{ revision: 12, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b' }] }])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'backend-removed 12', 'watch after 12'])
    expect(announced).toBe(1)
  })

  test('lists anew when the history is lost, and only then', async () => {
    const { events } = await follow([unreachable, historyLost])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'lost', 'watch after 10', 'listing 11', 'reached', 'watch after 11'])
  })

  test('writes nothing when its entry is there already, and tries again when the write failed', async () => {
    expect((await follow([], { listed: [{ kind: StoreChangeKind.Instance, ip: '1' }] })).announced).toBe(0)
    expect((await follow([], { announcements: [unreachable] })).announced).toBe(2)
  })

  test('announces itself again when its entry was taken away', async () => {
    const { announced } = await follow([{ revision: 12, changes: [{ kind: StoreChangeKind.InstanceRemoved, ip: '1' }] }])
    expect(announced).toBe(2)
  })

  test('writes one line when the store is lost and one when it is back', async () => {
    const { lines } = await follow([unreachable, unreachable, { revision: 12, changes: [] }])
    expect(lines).toEqual(['store.reached revision=10', 'store.lost revision=10 detail=down', 'store.reached revision=12'])
  })
})
