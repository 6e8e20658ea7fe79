import { describe, expect, test } from '@jest/globals'
import { ReservationActionKind } from '../../src/reservations/reservation-action.js'
import { ReservationEventKind, type HeldStream, StreamStage } from '../../src/reservations/reservation-event.js'
import { orphanController } from '../../src/reservations/orphan-controller.js'
import { type Member, MemberState } from '../../src/board/member.js'
import { ServerEventKind } from '../../src/placement/server-event.js'
import { cancellationController } from '../../src/requests/cancellation.js'
import { RequestActionKind } from '../../src/requests/request-action.js'
import { requestController } from '../../src/requests/request-controller.js'
import { RequestEventKind } from '../../src/requests/request-event.js'
import { CoreRun } from '../requests/core-run.js'

const { CancelWork } = RequestActionKind

/** A keeper that lists one stream of `owner` each half second. */
class Watch extends CoreRun {
  answers: boolean | null = null

  constructor () {
    super([requestController, orphanController, cancellationController])
    this.setMember('owner', MemberState.Alive)
    this.list('entry-0', 'owner')
  }

  setMember (id: string, state: MemberState, incarnation = 'i1'): void {
    const member: Member = { id, incarnation, refutation: 0, state, changedMs: 0, peerAddress: '', callerAddress: '', failureDomain: '', region: '', bundleVersion: 0 }
    this.board.members.set(id, member)
  }

  list (...ids: string[]): void {
    const instances = ids.map((id) => ({ id, callerAddress: '', peerAddress: '', failureDomain: '', region: '', leaving: false }))
    this.step({ kind: ServerEventKind.InstanceListRead, servers: [], instances })
  }

  /** Lists the stream for some time and returns after how long it was released, or null. */
  watch (forMs: number, stream: Partial<HeldStream> = {}): number | null {
    const beganMs = this.nowMs
    while (this.nowMs < beganMs + forMs) {
      const asked = this.all(ReservationActionKind.QueryOwner).length
      this.step({ kind: ReservationEventKind.StreamsListed, server: 'd1', totalPieces: 9, freePieces: 0, streams: [{ work: 'q.1', owner: 'owner', incarnation: 'i1', stage: StreamStage.Decode, pieces: 1, ...stream }] })
      if (this.all(CancelWork).length > 0) return this.nowMs - beganMs
      this.advance(400)
      const answered = this.answers !== null && this.all(ReservationActionKind.QueryOwner).length > asked
      if (answered) this.step({ kind: ReservationEventKind.OwnerAnswered, work: 'q.1', server: 'd1', wanted: this.answers === true })
      this.advance(100)
    }
    return null
  }
}

describe('streams of other instances', () => {
  test('a dead owner is asked once more and its stream released; silence while suspected counts', () => {
    const run = new Watch()
    run.setMember('owner', MemberState.Dead)
    expect(run.watch(5000)).toBe(1000)
    expect(run.all(ReservationActionKind.QueryOwner)[0]).toMatchObject({ owner: 'owner', incarnation: 'i1', work: 'q.1' })
    const suspected = new Watch()
    suspected.setMember('owner', MemberState.Suspect)
    expect(suspected.watch(1500)).toBeNull()
    suspected.setMember('owner', MemberState.Dead)
    expect(suspected.watch(5000)).toBe(0)
  })

  test('a suspect or silent live owner never loses a stream, nor does one that answers late for a live stream', () => {
    for (const state of [MemberState.Suspect, MemberState.Alive, MemberState.Leaving]) {
      const run = new Watch()
      run.setMember('owner', state)
      expect(run.watch(60000)).toBeNull()
    }
    const answering = new Watch()
    answering.answers = true
    answering.setMember('owner', MemberState.Dead)
    expect(answering.watch(20000)).toBeNull()
    // Declared dead before its process was up, with an unknown incarnation.
    const starting = new Watch()
    starting.setMember('owner', MemberState.Dead, '')
    expect(starting.watch(5000)).toBeNull()
    expect(starting.watch(20000)).not.toBeNull()
  })

  test('a live owner that has forgotten its stream is asked in time and releases it', () => {
    const run = new Watch()
    run.answers = false
    expect(run.watch(30000)).toBeGreaterThanOrEqual(20000)
  })

  test('the stream of a replaced incarnation is released by answer, or by silence while the new one is alive', () => {
    const answering = new Watch()
    answering.answers = false
    expect(answering.watch(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(1000)
    expect(new Watch().watch(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(2000)
    const paused = new Watch()
    paused.setMember('owner', MemberState.Suspect)
    expect(paused.watch(20000, { incarnation: 'i0' })).toBeNull()
  })

  test('a stream whose owner was replaced by a process that died as well is released within two seconds', () => {
    const run = new Watch()
    run.setMember('owner', MemberState.Dead)
    expect(run.watch(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(2000)
  })

  test('an owner that left the list is gone after several listings; one that was never listed gets more time', () => {
    const run = new Watch()
    run.board.members.delete('owner')
    run.list('entry-0')
    const goneMs = run.watch(20000) ?? Infinity
    expect(goneMs).toBeGreaterThanOrEqual(1500)
    expect(goneMs).toBeLessThanOrEqual(2500)
    const left = new Watch()
    left.setMember('owner', MemberState.Leaving)
    left.list('entry-0')
    expect(left.watch(20000)).toBe(1500)
    expect(new Watch().watch(20000, { owner: 'new', incarnation: 'n' })).toBeGreaterThanOrEqual(9000)
  })

  test('a keeper that sees most others dead, is missing from the list or was paused does not take streams away', () => {
    const cutOff = new Watch()
    for (const id of ['owner', 'a', 'b']) cutOff.setMember(id, MemberState.Dead)
    cutOff.list('entry-0', 'owner', 'a', 'b')
    expect(cutOff.watch(20000)).toBeNull()
    cutOff.list('entry-0', 'a', 'b')
    expect(cutOff.watch(20000)).not.toBeNull()
    const unlisted = new Watch()
    unlisted.board.members.delete('owner')
    unlisted.list('a', 'b')
    expect(unlisted.watch(20000)).toBeNull()
    const paused = new Watch()
    paused.setMember('owner', MemberState.Dead)
    expect(paused.watch(500)).toBeNull()
    paused.advance(10000)
    expect(paused.watch(500)).toBeNull()
  })
})

test('own streams that no request or cancel stands for are released, wanted ones never', () => {
  const run = new Watch()
  run.decode()
  const { server } = run.last(RequestActionKind.StartDecode)
  const listed = (work: string, incarnation: string): void => run.step({
    kind: ReservationEventKind.StreamsListed, server, totalPieces: 9, freePieces: 0, streams: [{ work, owner: 'entry-0', incarnation, stage: StreamStage.Decode, pieces: 1 }]
  })
  listed('r.1', 'i0')
  expect(run.all(CancelWork)).toHaveLength(0)
  listed('forgotten.1', 'i0')
  listed('forgotten.1', 'i0')
  listed('earlier.1', 'old')
  expect(run.all(CancelWork).map((cancel) => cancel.work)).toEqual(['forgotten.1', 'earlier.1'])
})

describe('cancels', () => {
  test('a caller that goes leaves no stage without a cancel', () => {
    const stages: Array<[string, (run: CoreRun) => void, number]> = [
      ['reserving', (run) => run.arrive(), 0],
      ['prefill', (run) => { run.arrive(); run.grant() }, 1],
      ['transfer', (run) => { run.arrive(); run.grant(); run.prefilled() }, 2],
      ['decode', (run) => run.decode(), 1]
    ]
    for (const [, prepare, cancels] of stages) {
      const run = new Watch()
      prepare(run)
      run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
      expect(run.all(CancelWork)).toHaveLength(cancels)
      expect(run.all(RequestActionKind.ReleaseReservation)).toHaveLength(1)
    }
  })

  test('an unconfirmed cancel is repeated with growing pauses, several times within 5 s', () => {
    const run = new Watch()
    run.decode()
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    run.advance(5000)
    expect(run.all(CancelWork).length).toBeGreaterThanOrEqual(5)
    expect(run.all(CancelWork).length).toBeLessThanOrEqual(8)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: run.last(CancelWork).server, cancel: run.last(CancelWork).cancel })
    expect(run.board.cancels.size).toBe(0)
  })

  test('a prefill that starts on the engine after its cancel was confirmed is cancelled again', () => {
    const run = new Watch()
    run.arrive()
    run.grant()
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    const first = run.last(CancelWork)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: first.cancel })
    run.step({ kind: RequestEventKind.PrefillFinished, request: 'r', attempt: 1, handle: 'h', computedTokens: 1, cachedTokens: 0, expiresMs: 9000 })
    expect(run.last(CancelWork).cancel).toBeGreaterThan(first.cancel)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: first.cancel })
    expect(run.board.cancels.size).toBe(1)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: run.last(CancelWork).cancel })
    expect(run.board.cancels.size).toBe(0)
  })
})
