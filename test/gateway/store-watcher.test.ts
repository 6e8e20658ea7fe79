import { describe, expect, test } from '@jest/globals'
import { type PlatformStore, type StoreChange, StoreChangeKind, type StoreError, StoreErrorKind, type StoreListing } from '../../src/gateway/platform-store.js'
import { StoreWatcher } from '../../src/gateway/store-watcher.js'
import { configuration, recordingLog } from './gateway-fixtures.js'

const unreachable: StoreError = { kind: StoreErrorKind.Unreachable, detail: 'down' }
const historyLost: StoreError = { kind: StoreErrorKind.HistoryLost, detail: 'compacted' }

/** Runs a watcher on a store whose watch calls return the scripted results in turn, and whose listings are of the scripted eras, or else of era 1; resolves when all of them have been used. */
async function watchStore (watches: Array<StoreListing | StoreError>, { listed = [], eras = [], announcements = [], watchMs = 0, needs = [], knownEra = () => 0 }: { listed?: StoreChange[], eras?: number[], announcements?: Array<StoreError | null>, watchMs?: number, needs?: boolean[], knownEra?: () => number } = {}): Promise<{ events: string[], announced: number, lines: string[] }> {
  const events: string[] = []
  let announced = 0
  let revision = 10
  const clock = { ms: 0 }
  let finish = (): void => {}
  const allConsumed = new Promise<void>((resolve) => { finish = resolve })
  const store: PlatformStore = {
    list: () => Promise.resolve({ era: eras.shift() ?? 1, revision: revision++, changes: listed }),
    watch: (after) => {
      events.push(`watch after ${after}`)
      const result = watches.shift()
      clock.ms += watchMs
      if (result !== undefined) return Promise.resolve(result)
      finish()
      return new Promise(() => {})
    },
    announce: () => {
      announced += 1
      return Promise.resolve(announcements.shift() ?? null)
    },
    recordOrder: () => Promise.resolve({ era: 1, revision: 1 })
  }
  const log = recordingLog()
  const watcher = new StoreWatcher({
    store,
    ip: '1',
    log,
    random: () => 0,
    nowMs: () => clock.ms,
    isNeeded: () => needs.shift() ?? true,
    knownEra,
    onListing: (listing) => events.push(`listing ${listing.revision}`),
    onChange: (change: StoreChange, { revision: reached }) => events.push(`${change.kind} ${reached}`),
    onReachability: (reached) => events.push(reached ? 'reached' : 'lost')
  })
  watcher.run().catch((error: unknown) => events.push(String(error)))
  await allConsumed
  return { events, announced, lines: log.lines }
}

describe('StoreWatcher', () => {
  test('watches from the revision of the listing on', async () => {
    const { events, announced } = await watchStore([{ era: 1, revision: 12, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b' }] }])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'backend-removed 12', 'watch after 12'])
    expect(announced).toBe(1)
  })

  test('reads a new listing when the history is lost, and not when the store was only unreachable', async () => {
    const { events } = await watchStore([unreachable, historyLost])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'lost', 'watch after 10', 'listing 11', 'reached', 'watch after 11'])
  })

  test('reads a new listing instead of replaying the changes of a longer outage', async () => {
    const { events } = await watchStore([unreachable, unreachable], { watchMs: 700 })
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'lost', 'watch after 10', 'lost', 'listing 11', 'reached', 'watch after 11'])
  })

  test('reads a new listing when one response holds several versions of the configuration', async () => {
    const change: StoreChange = { kind: StoreChangeKind.Configuration, configuration: configuration() }
    const { events } = await watchStore([{ era: 1, revision: 12, changes: [change, change] }])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'configuration 12', 'configuration 12', 'listing 11', 'watch after 11'])
  })

  test('does not write its entry when it exists already, and tries again when the write failed', async () => {
    expect((await watchStore([], { listed: [{ kind: StoreChangeKind.Instance, ip: '1' }] })).announced).toBe(0)
    expect((await watchStore([{ era: 1, revision: 12, changes: [] }], { announcements: [unreachable] })).announced).toBe(2)
  })

  // Guards against an instance that continues its own old position after its peers have passed on only a part of the changes since.
  test('makes no calls while it is not needed, and then reads a new listing', async () => {
    const { events, announced } = await watchStore([], { listed: [{ kind: StoreChangeKind.Instance, ip: '1' }], needs: [false, false, false, true] })
    expect(events).toEqual(['listing 10', 'reached', 'listing 11', 'watch after 11'])
    expect(announced).toBe(0)
  })

  // Guards against servers of a lost history that stay in force at the instances that do not watch the store.
  test('lists the entries of a new era that it learns of while it is not needed', async () => {
    let calls = 0
    const { events } = await watchStore([], { listed: [{ kind: StoreChangeKind.Instance, ip: '1' }], eras: [1, 2, 2], needs: [false, false, true], knownEra: () => (calls += 1) > 2 ? 2 : 1 })
    expect(events).toEqual(['listing 10', 'reached', 'listing 11', 'listing 12', 'watch after 12'])
  })

  test('writes its entry again when it was removed', async () => {
    const { announced } = await watchStore([{ era: 1, revision: 12, changes: [{ kind: StoreChangeKind.InstanceRemoved, ip: '1' }] }])
    expect(announced).toBe(2)
  })

  test('logs size and time of large responses, and how many configurations they hold', async () => {
    const change: StoreChange = { kind: StoreChangeKind.Configuration, configuration: configuration() }
    const transfer = { bytes: 700_000, headMs: 3.4, totalMs: 611.2 }
    const { lines } = await watchStore([{ era: 1, revision: 12, changes: [change, change], transfer }, { era: 1, revision: 13, changes: [change], transfer: { ...transfer, bytes: 2000 } }])
    expect(lines).toEqual(['store.reached era=1 revision=10', 'store.transfer call=watch revision=12 configurations=2 bytes=700000 headMs=3 totalMs=611'])
  })

  // Guards against entries of a lost history that stay in force: a watch that waited while the store returned from a copy went on in the new era, without the changes before its revision.
  test('reads a new listing when a watch call is answered in another era, also if its revisions have grown past the known one', async () => {
    const { events, lines } = await watchStore([{ era: 2, revision: 99, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b' }] }], { eras: [1, 2] })
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'listing 11', 'watch after 11'])
    expect(lines).toEqual(['store.reached era=1 revision=10', 'store.era-changed era=2 revision=11 eraBefore=1 revisionBefore=10'])
  })

  test('logs a change of the era once when the history is lost with it', async () => {
    const { lines } = await watchStore([{ ...historyLost, era: 2 }, { ...historyLost, era: 2 }], { eras: [1, 2, 2] })
    expect(lines.filter((line) => line.startsWith('store.era-changed'))).toEqual(['store.era-changed era=2 revision=11 eraBefore=1 revisionBefore=10'])
  })

  // Guards against a watch that goes on from a revision of a lost history after a short outage.
  test('reads a new listing when a failed call is answered in another era', async () => {
    const { events } = await watchStore([{ ...unreachable, era: 2 }], { eras: [1, 2] })
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'lost', 'listing 11', 'reached', 'watch after 11'])
  })

  // Guards against changes that are applied as those of a lost history because their answer names no era, or a malformed one.
  test('applies no answer of an older era', async () => {
    const { events, lines } = await watchStore([{ era: 0, revision: 12, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b' }] }])
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'lost', 'watch after 10'])
    expect(lines.at(-1)).toBe('store.lost era=1 revision=10 detail=answer of era 0 after era 1')
  })

  test('logs one line when the store is lost and one when it is reached again', async () => {
    const { lines } = await watchStore([unreachable, unreachable, { era: 1, revision: 12, changes: [] }])
    expect(lines).toEqual(['store.reached era=1 revision=10', 'store.lost era=1 revision=10 detail=down', 'store.reached era=1 revision=12'])
  })

  // Guards against configurations and leaving servers that are learned late while the store refuses to write the entry of this instance.
  test('goes on watching while its entry can not be written', async () => {
    const { events, announced } = await watchStore([
      { era: 1, revision: 12, changes: [{ kind: StoreChangeKind.BackendRemoved, id: 'b' }] },
      { era: 1, revision: 13, changes: [] }
    ], { announcements: [unreachable, unreachable, unreachable] })
    expect(events).toEqual(['listing 10', 'reached', 'watch after 10', 'backend-removed 12', 'watch after 12', 'watch after 13'])
    expect(announced).toBe(3)
  })

  // Guards against a loop without a pause: a listing needs no history, so a store that answers it with 410 is faulty.
  test('pauses after a listing that the store answers as if its history were lost', async () => {
    let listings = 0
    const store = { list: () => { listings += 1; return Promise.resolve(historyLost) } } as unknown as PlatformStore
    const watcher = new StoreWatcher({ store, ip: '1', log: recordingLog(), random: () => 0.5, nowMs: () => performance.now(), onListing: () => {}, onChange: () => {}, onReachability: () => {} })
    watcher.run().catch((error: unknown) => { throw error })
    await new Promise((resolve) => setTimeout(resolve, 250))
    watcher.stop()
    expect(listings).toBeLessThan(4)
  })
})
