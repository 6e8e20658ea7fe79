import { describe, expect, test } from '@jest/globals'
import type { CallerRequest } from '../../src/gateway/caller-request.js'
import { type Route, RouteKind } from '../../src/gateway/configuration.js'
import { LateAcceptance } from '../../src/gateway/late-acceptance.js'
import { callerRequest, route } from './gateway-fixtures.js'

const TIMEOUT_MS = 14_000
const LEFT_MS = 6600
const stream = route({ name: 'stream', kind: RouteKind.Streaming, timeoutMs: TIMEOUT_MS })

function request (estimatedOutputTokens: number | null): CallerRequest {
  return callerRequest({ generationParameters: { promptTokens: 100, maxOutputTokens: 20_000, estimatedOutputTokens, promptId: 'p', sharedParts: [] } })
}

/** A process that exits after LEFT_MS and has answered streams of the given estimates, each of which took 200 ms to its first part and 0.7 ms for a token. */
function stoppingProcess (estimates: Array<number | null>, answered: Route = stream): LateAcceptance {
  const acceptance = new LateAcceptance({ nowMs: () => 0 })
  for (const tokens of estimates) acceptance.recordDuration({ request: request(tokens), route: answered, durationMs: 200 + 0.7 * (tokens ?? 1000), firstPartMs: 200 })
  acceptance.exitMs = LEFT_MS
  return acceptance
}

describe('LateAcceptance', () => {
  // Guards against long streams that are accepted after SIGTERM because most streams of their route are short, and are cut at the exit.
  test('refuses a stream whose estimated length takes longer than the time until the exit', () => {
    const acceptance = stoppingProcess(Array.from({ length: 20 }, () => 1000))
    expect([1000, 9000, 12_000].map((tokens) => acceptance.accepts(request(tokens), stream))).toEqual([true, true, false])
  })

  // Guards against refusals of streams that are short, although most of their route are long.
  test('accepts a stream whose estimated length leaves time until the exit', () => {
    const acceptance = stoppingProcess(Array.from({ length: 20 }, () => 15_000))
    expect([1000, 12_000].map((tokens) => acceptance.accepts(request(tokens), stream))).toEqual([true, false])
  })

  test('goes by the durations of the route for a stream without an estimate', () => {
    const acceptance = stoppingProcess([...Array.from({ length: 10 }, () => 1000), ...Array.from({ length: 10 }, () => 15_000)])
    expect(acceptance.accepts(request(null), stream)).toBe(false)
    expect(stoppingProcess(Array.from({ length: 20 }, () => null)).accepts(request(null), stream)).toBe(true)
  })

  // Guards against refusals of requests of a model whose answers are no streams.
  test('goes by the durations of the route if none of its requests was a stream', () => {
    const plain = route({ name: 'plain', kind: RouteKind.NonIdempotent, timeoutMs: TIMEOUT_MS })
    const acceptance = new LateAcceptance({ nowMs: () => 0 })
    for (let count = 0; count < 10; count += 1) acceptance.recordDuration({ request: request(1000), route: plain, durationMs: 900, firstPartMs: null })
    acceptance.exitMs = LEFT_MS
    expect(acceptance.accepts(request(1000), plain)).toBe(true)
  })

  test('refuses while too few streams of the route have ended, and accepts one that may be resumed', () => {
    const acceptance = stoppingProcess([1000, 1000])
    expect(acceptance.accepts(request(1000), stream)).toBe(false)
    expect(acceptance.accepts(request(1000), { ...stream, resumable: true })).toBe(true)
  })

  // Guards against long streams that are cut at the exit and prefilled again, although another instance could have served them whole.
  test('refuses a stream that may be resumed, if it is known to take longer than the time until the exit', () => {
    const resumable = { ...stream, resumable: true }
    const acceptance = stoppingProcess(Array.from({ length: 20 }, () => 1000), resumable)
    expect([1000, 12_000].map((tokens) => acceptance.accepts(request(tokens), resumable))).toEqual([true, false])
  })
})
