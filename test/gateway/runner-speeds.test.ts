import { describe, expect, test } from '@jest/globals'
import { RunnerSpeeds } from '../../src/gateway/runner-speeds.js'

function recordPrefills (speeds: RunnerSpeeds, count: number, tokensPerMs: number, queued: boolean): void {
  for (let index = 0; index < count; index += 1) speeds.recordPrefill('model', 'p', { tokensPerMs, queued })
}

describe('RunnerSpeeds', () => {
  test('knows no speed before enough work has been measured', () => {
    const speeds = new RunnerSpeeds({ nowMs: () => 0 })
    recordPrefills(speeds, 4, 30, false)
    for (let step = 0; step < 14; step += 1) speeds.recordDecodeStep('model', 'd', { runs: 4, msPerToken: 5, spanMs: 300 })
    expect([speeds.prefillSpeed('model'), speeds.msPerToken('model', 4)]).toEqual([null, null])
  })

  // Guards against latency that counts as work, and so against runners that seem to serve half of what they do.
  test('takes the speed of prompts that waited at their runner', () => {
    const speeds = new RunnerSpeeds({ nowMs: () => 0 })
    recordPrefills(speeds, 9, 28, false)
    recordPrefills(speeds, 9, 55, true)
    expect([speeds.prefillSpeed('model'), speeds.expectedPrefillSpeed('model', 'p')]).toEqual([55, 55])
  })

  // Guards against a runner that gets one prompt a second for good, because prompts of other instances once made it look slow.
  test('does not keep a low speed of queued prompts once others are faster', () => {
    const speeds = new RunnerSpeeds({ nowMs: () => 0 })
    recordPrefills(speeds, 9, 5, true)
    recordPrefills(speeds, 9, 28, false)
    expect(speeds.expectedPrefillSpeed('model', 'p')).toBe(28)
  })

  test('derives the time for a token under load from steps with few and with more runs', () => {
    const speeds = new RunnerSpeeds({ nowMs: () => 0 })
    for (let runs = 1; runs <= 6; runs += 1) for (let step = 0; step < 5; step += 1) speeds.recordDecodeStep('model', 'd', { runs, msPerToken: 4.5 + 0.2 * runs, spanMs: 300 })
    expect(speeds.msPerToken('model', 12)).toBeCloseTo(6.9, 1)
  })

  test('ignores steps of stalled runs', () => {
    const speeds = new RunnerSpeeds({ nowMs: () => 0 })
    for (let step = 0; step < 20; step += 1) speeds.recordDecodeStep('model', 'd', { runs: 5, msPerToken: step % 4 === 0 ? 900 : 6, spanMs: 300 })
    expect(speeds.msPerToken('model', 5)).toBe(6)
  })
})
