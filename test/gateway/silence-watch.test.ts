import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import type { Placement, RefusedPlacement } from '../../src/gateway/placement.js'
import { SilenceWatch } from '../../src/gateway/silence-watch.js'
import { recordingLog } from './gateway-fixtures.js'
import { noRunner } from './placer-fixtures.js'

const SILENCE_MS = 1000
const place: Placement = { prefill: null, decode: 'd2' }

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** A watch whose searches are decided by the test; records what happens. */
function watched (move: (placement: Placement, isSilent: () => boolean) => string | null | Promise<string | null> = () => null): { watch: SilenceWatch, calls: string[], decide: (decision: Placement | RefusedPlacement) => Promise<void> } {
  const calls: string[] = []
  let resolveDecision: (decision: Placement | RefusedPlacement) => void = () => {}
  const watch = new SilenceWatch({
    silenceMs: SILENCE_MS,
    seek: () => {
      calls.push('sought')
      return { decision: new Promise((resolve) => { resolveDecision = resolve }), accept: () => calls.push('accepted'), withdraw: () => calls.push('withdrawn') }
    },
    move: (placement, isSilent) => Promise.resolve(move(placement, isSilent)),
    onKept: (reason) => calls.push(`kept: ${reason}`),
    onMoved: () => calls.push('moved'),
    log: recordingLog()
  })
  return {
    watch,
    calls,
    decide: async (decision) => {
      resolveDecision(decision)
      for (let step = 0; step < 5; step += 1) await Promise.resolve()
    }
  }
}

describe('SilenceWatch', () => {
  // Guards against the move of a stream that went on while its new place was sought: two runs would work on it.
  test('withdraws the search when bytes arrive before its decision, and does not move', async () => {
    const { watch, calls, decide } = watched()
    watch.restart()
    jest.advanceTimersByTime(SILENCE_MS)
    watch.restart()
    await decide(place)
    watch.stop()
    expect(calls).toEqual(['sought', 'withdrawn'])
  })

  // Guards against a runner that holds memory for a place that nobody uses.
  test('withdraws the search when the stream ends, and a place that can not be used', async () => {
    const ended = watched()
    ended.watch.restart()
    jest.advanceTimersByTime(SILENCE_MS)
    ended.watch.stop()
    expect(ended.calls).toEqual(['sought', 'withdrawn'])
    const unusable = watched(() => 'retry-budget')
    unusable.watch.restart()
    jest.advanceTimersByTime(SILENCE_MS)
    await unusable.decide(place)
    unusable.watch.stop()
    expect(unusable.calls).toEqual(['sought', 'kept: retry-budget', 'withdrawn'])
  })

  test('seeks again after a refusal while the silence lasts, and moves once', async () => {
    const { watch, calls, decide } = watched()
    watch.restart()
    jest.advanceTimersByTime(SILENCE_MS)
    await decide(noRunner)
    jest.advanceTimersByTime(SILENCE_MS)
    await decide(place)
    jest.advanceTimersByTime(10 * SILENCE_MS)
    expect(calls).toEqual(['sought', 'kept: no-runner', 'withdrawn', 'sought', 'accepted', 'moved'])
  })

  test('seeks nothing while bytes keep arriving', () => {
    const { watch, calls } = watched()
    for (let chunk = 0; chunk < 5; chunk += 1) {
      watch.restart()
      jest.advanceTimersByTime(SILENCE_MS - 1)
    }
    watch.stop()
    jest.advanceTimersByTime(SILENCE_MS)
    expect(calls).toEqual([])
  })

  // Guards against a stream that is moved although its runner has gone on meanwhile.
  test('tells a move that is being prepared when bytes arrive, and reports no refusal of it then', async () => {
    let isSilentAtEnd: boolean | null = null
    let finish: () => void = () => {}
    const { watch, calls, decide } = watched(async (_placement, isSilent) => {
      await new Promise<void>((resolve) => { finish = resolve })
      isSilentAtEnd = isSilent()
      return 'not-needed'
    })
    watch.restart()
    jest.advanceTimersByTime(SILENCE_MS)
    await decide(place)
    watch.restart()
    finish()
    for (let step = 0; step < 5; step += 1) await Promise.resolve()
    watch.stop()
    expect(isSilentAtEnd).toBe(false)
    expect(calls).toEqual(['sought', 'withdrawn'])
  })
})
