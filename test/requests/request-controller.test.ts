import { describe, expect, test } from '@jest/globals'
import { RefusalClass, refusalDescriptions, RefusalKind } from '../../src/errors/refusal.js'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind, StageFailure } from '../../src/requests/request-event.js'
import { RETRY_BURST } from '../../src/requests/retry-budget.js'
import { CoreRun } from './core-run.js'

const { AnswerRequest, RequestReservation, CancelWork, RefuseRequest, StartDecode, StartPrefill, StartTransfer } = RequestActionKind

function newRun (): CoreRun {
  return new CoreRun([requestController, cancellationController])
}

function failPrefill (run: CoreRun, failure: StageFailure): void {
  run.stepRequest({ kind: RequestEventKind.PrefillFailed, failure })
}

function failDecode (run: CoreRun, failure: StageFailure, tokens: number): void {
  run.stepRequest({ kind: RequestEventKind.DecodeFailed, failure, tokens })
}

describe('failed stages', () => {
  test('a failed prefill is retried; it counts in the breaker of a dead runner, but not in that of a live runner that is full or slow', () => {
    const breakerFailuresAfter = (failure: StageFailure): number => {
      const run = newRun()
      run.arriveAndAdmit()
      run.grantReservation()
      const { server } = run.lastAction(StartPrefill)
      run.setLoad(server)
      failPrefill(run, failure)
      run.advance(100)
      run.grantReservation()
      expect(run.actionsOf(StartPrefill)).toHaveLength(2)
      if (failure !== StageFailure.Full) expect(run.lastAction(StartPrefill).server).not.toBe(server)
      return run.board.servers.get(server)?.breaker.failures ?? -1
    }
    expect([StageFailure.Unreachable, StageFailure.Broken, StageFailure.Full, StageFailure.TimedOut].map(breakerFailuresAfter)).toEqual([1, 1, 0, 0])
  })

  test('a request is placed again on runners that failed it when there are no others', () => {
    const run = newRun()
    run.arriveAndAdmit()
    for (let i = 0; i < 3; i += 1) {
      run.grantReservation()
      run.stepRequest({ kind: RequestEventKind.PrefillFailed, failure: StageFailure.Broken })
      run.advance(400)
    }
    expect(run.board.requests.get('r')?.prefillServer).not.toBeNull()
  })

  test('a timed-out prefill counts as a failure of a runner without a fresh load report', () => {
    const run = newRun()
    run.arriveAndAdmit()
    run.grantReservation()
    const { server } = run.lastAction(StartPrefill)
    failPrefill(run, StageFailure.TimedOut)
    expect(run.board.servers.get(server)?.breaker.failures).toBe(1)
  })

  test('a failed transfer is retried from the same prefill runner with a new reservation and without a new prefill', () => {
    const run = newRun()
    run.arriveAndAdmit()
    run.grantReservation()
    run.finishPrefill()
    const first = run.lastAction(StartTransfer)
    run.stepRequest({ kind: RequestEventKind.TransferFailed, failure: StageFailure.Broken })
    run.advance(60)
    expect(run.actionsOf(RequestReservation)).toHaveLength(2)
    expect(run.lastAction(CancelWork)).toMatchObject({ work: 'r.1', server: first.server })
    run.grantReservation()
    const second = run.lastAction(StartTransfer)
    expect(second).toMatchObject({ attempt: 2, handle: 'h', source: first.source })
    expect(second.server).not.toBe(first.server)
    expect(run.actionsOf(StartPrefill)).toHaveLength(1)
  })

  test('an evicted or expired prefill result is cancelled and computed again', () => {
    for (const [failure, waitMs] of [[StageFailure.Evicted, 0], [StageFailure.Broken, 790]] as const) {
      const run = newRun()
      run.arriveAndAdmit()
      run.grantReservation()
      run.finishPrefill()
      run.advance(waitMs)
      run.stepRequest({ kind: RequestEventKind.TransferFailed, failure })
      run.advance(100)
      run.grantReservation()
      expect(run.actionsOf(StartPrefill)).toHaveLength(2)
      expect(run.actionsOf(CancelWork)).toContainEqual(expect.objectContaining({ work: 'r.1', server: run.actionsOf(StartPrefill)[0]?.server }))
    }
  })

  test('a prefill result that expires while reservations are denied is cancelled and computed again', () => {
    const run = newRun()
    run.arriveAndAdmit()
    run.grantReservation()
    run.finishPrefill()
    run.stepRequest({ kind: RequestEventKind.TransferFailed, failure: StageFailure.Full })
    run.advance(50)
    for (let i = 0; i < 3; i += 1) {
      run.stepRequest({ kind: RequestEventKind.ReservationAnswered, server: 'd1', granted: false, transferMs: 0, freePieces: 0 })
      run.advance(400)
    }
    run.grantReservation()
    expect(run.actionsOf(StartPrefill)).toHaveLength(2)
    expect(run.actionsOf(CancelWork)[0]).toMatchObject({ work: 'r.1', server: run.actionsOf(StartPrefill)[0]?.server })
  })

  test('a broken decode connection is resumed from the last token on the same runner', () => {
    const run = newRun()
    run.advanceToDecode(true)
    const first = run.lastAction(StartDecode)
    run.stepRequest({ kind: RequestEventKind.DecodeProgress, tokens: 3 })
    failDecode(run, StageFailure.Broken, 4)
    run.advance(100)
    expect(run.lastAction(StartDecode)).toMatchObject({ server: first.server, attempt: 1, fromToken: 4 })
    run.stepRequest({ kind: RequestEventKind.DecodeFinished, tokens: 10, announcedTokens: 10 })
    expect(run.actionsOf(AnswerRequest)).toHaveLength(1)
    expect(run.board.requests.size).toBe(0)
  })

  test('retries are bounded by the budget of the service, and a request on which no engine worked is refused as not run', () => {
    const run = newRun()
    run.addRunner('p3', run.board.servers.get('p1')!.role)
    let refusals = 0
    for (let i = 0; i < 200; i += 1) {
      run.arriveAndAdmit({ request: 'r' })
      for (const server of run.board.servers.values()) server.breaker.failures = 0
      run.grantReservation()
      failPrefill(run, StageFailure.Unreachable)
      run.advance(100)
      if (run.board.requests.has('r')) run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
      else refusals += 1
    }
    const retries = run.actionsOf(RequestReservation).length - 200
    expect(retries).toBeLessThanOrEqual(RETRY_BURST + 200 * 0.2)
    expect(retries).toBeGreaterThan(200 * 0.2)
    expect(refusals).toBe(200 - retries)
    expect(refusalDescriptions[run.lastAction(RefuseRequest).refusal].class).toBe(RefusalClass.NotRun)
  })

  test('a request that an engine worked on is never refused as not run', () => {
    for (const stage of ['prefill', 'decode']) {
      const run = newRun()
      if (stage === 'decode') run.advanceToDecode()
      else {
        run.arriveAndAdmit()
        run.grantReservation()
      }
      run.step({ kind: RequestEventKind.RequestExpired, request: 'r' })
      expect(run.lastAction(RefuseRequest).refusal).toBe(RefusalKind.DeadlinePassed)
      expect(refusalDescriptions[run.lastAction(RefuseRequest).refusal].class).not.toBe(RefusalClass.NotRun)
    }
    const waiting = newRun()
    waiting.arriveAndAdmit()
    waiting.step({ kind: RequestEventKind.RequestExpired, request: 'r' })
    expect(waiting.lastAction(RefuseRequest).refusal).toBe(RefusalKind.DeadlineUnreachable)
  })
})

describe('complete answers', () => {
  test('a lost runner ends the request with stream_lost if tokens were streamed to the caller; otherwise the request is retried', () => {
    for (const [stream, tokens, refusals] of [[true, 3, 1], [true, 0, 0], [false, 3, 0]] as const) {
      const run = newRun()
      run.advanceToDecode(stream)
      failDecode(run, StageFailure.Evicted, tokens)
      run.advance(100)
      expect(run.actionsOf(RefuseRequest).map((refusal) => refusal.refusal)).toEqual(Array(refusals).fill(RefusalKind.StreamLost))
      expect(run.actionsOf(RequestReservation)).toHaveLength(2 - refusals)
      if (refusals === 0) expect(run.board.requests.get('r')?.tokens).toBe(0)
    }
  })

  test('late events of an earlier attempt are ignored', () => {
    const run = newRun()
    run.advanceToDecode()
    failDecode(run, StageFailure.Evicted, 3)
    run.advance(100)
    run.grantReservation()
    run.finishPrefill()
    run.stepRequest({ kind: RequestEventKind.TransferFinished })
    run.step({ kind: RequestEventKind.DecodeProgress, request: 'r', attempt: 1, tokens: 9 })
    run.step({ kind: RequestEventKind.DecodeFinished, request: 'r', attempt: 1, tokens: 10, announcedTokens: 10 })
    expect(run.actionsOf(AnswerRequest)).toHaveLength(0)
    expect(run.board.requests.get('r')).toMatchObject({ attempt: 2, tokens: 0 })
  })

  test('an answer with fewer tokens than the engine announced is not returned; its stream is resumed', () => {
    const run = newRun()
    run.advanceToDecode()
    run.stepRequest({ kind: RequestEventKind.DecodeFinished, tokens: 9, announcedTokens: 10 })
    expect(run.actionsOf(AnswerRequest)).toHaveLength(0)
    run.advance(100)
    expect(run.lastAction(StartDecode)).toMatchObject({ fromToken: 9 })
  })
})
