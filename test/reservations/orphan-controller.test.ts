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

/** A coordinator that lists one stream of `owner` every half second. */
class OrphanRun extends CoreRun {
  /** What the owner answers when queried whether it still needs the stream; null if it does not answer. */
  ownerAnswer: boolean | null = null

  constructor () {
    super([requestController, orphanController, cancellationController])
    this.setMember('owner', MemberState.Alive)
    this.setInstanceList('entry-0', 'owner')
  }

  setMember (id: string, state: MemberState, incarnation = 'i1'): void {
    const member: Member = { id, incarnation, refutation: 0, state, changedMs: 0, peerAddress: '', callerAddress: '', failureDomain: '', region: '', bundleVersion: 0 }
    this.board.members.set(id, member)
  }

  setInstanceList (...ids: string[]): void {
    const instances = ids.map((id) => ({ id, callerAddress: '', peerAddress: '', failureDomain: '', region: '', leaving: false }))
    this.step({ kind: ServerEventKind.InstanceListRead, servers: [], instances })
  }

  /** Lists the stream for up to `durationMs` and returns after how many ms it was released, or null if it was not. */
  listUntilReleased (durationMs: number, stream: Partial<HeldStream> = {}): number | null {
    const startMs = this.nowMs
    while (this.nowMs < startMs + durationMs) {
      const queriesBefore = this.actionsOf(ReservationActionKind.QueryOwner).length
      this.step({ kind: ReservationEventKind.StreamsListed, server: 'd1', totalPieces: 9, freePieces: 0, streams: [{ work: 'q.1', owner: 'owner', incarnation: 'i1', stage: StreamStage.Decode, pieces: 1, ...stream }] })
      if (this.actionsOf(CancelWork).length > 0) return this.nowMs - startMs
      this.advance(400)
      const answered = this.ownerAnswer !== null && this.actionsOf(ReservationActionKind.QueryOwner).length > queriesBefore
      if (answered) this.step({ kind: ReservationEventKind.OwnerAnswered, work: 'q.1', server: 'd1', wanted: this.ownerAnswer === true })
      this.advance(100)
    }
    return null
  }
}

describe('streams of other instances', () => {
  test('the stream of a dead owner is released after one unanswered query; a query unanswered while the owner was suspected counts', () => {
    const run = new OrphanRun()
    run.setMember('owner', MemberState.Dead)
    expect(run.listUntilReleased(5000)).toBe(1000)
    expect(run.actionsOf(ReservationActionKind.QueryOwner)[0]).toMatchObject({ owner: 'owner', incarnation: 'i1', work: 'q.1' })
    const suspected = new OrphanRun()
    suspected.setMember('owner', MemberState.Suspect)
    expect(suspected.listUntilReleased(1500)).toBeNull()
    suspected.setMember('owner', MemberState.Dead)
    expect(suspected.listUntilReleased(5000)).toBe(0)
  })

  test('a silent owner that is alive, leaving or suspected never loses a stream, nor does one declared dead that still answers for it', () => {
    for (const state of [MemberState.Suspect, MemberState.Alive, MemberState.Leaving]) {
      const run = new OrphanRun()
      run.setMember('owner', state)
      expect(run.listUntilReleased(60000)).toBeNull()
    }
    const answering = new OrphanRun()
    answering.ownerAnswer = true
    answering.setMember('owner', MemberState.Dead)
    expect(answering.listUntilReleased(20000)).toBeNull()
    // The owner was declared dead before its process was up, so the dead incarnation is unknown.
    const starting = new OrphanRun()
    starting.setMember('owner', MemberState.Dead, '')
    expect(starting.listUntilReleased(5000)).toBeNull()
    expect(starting.listUntilReleased(20000)).not.toBeNull()
  })

  test('a live owner is queried after the audit period, and its stream is released if it no longer needs it', () => {
    const run = new OrphanRun()
    run.ownerAnswer = false
    expect(run.listUntilReleased(30000)).toBeGreaterThanOrEqual(20000)
  })

  test('the stream of a replaced incarnation is released when the new one answers that it does not need the stream, or does not answer while it is alive', () => {
    const answering = new OrphanRun()
    answering.ownerAnswer = false
    expect(answering.listUntilReleased(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(1000)
    expect(new OrphanRun().listUntilReleased(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(2000)
    const paused = new OrphanRun()
    paused.setMember('owner', MemberState.Suspect)
    expect(paused.listUntilReleased(20000, { incarnation: 'i0' })).toBeNull()
  })

  test('a stream whose owner was replaced by a process that died as well is released within two seconds', () => {
    const run = new OrphanRun()
    run.setMember('owner', MemberState.Dead)
    expect(run.listUntilReleased(5000, { incarnation: 'i0' })).toBeLessThanOrEqual(2000)
  })

  test('an owner that left the instance list loses its stream after several listings; one that was never listed gets more time', () => {
    const run = new OrphanRun()
    run.board.members.delete('owner')
    run.setInstanceList('entry-0')
    const releasedMs = run.listUntilReleased(20000) ?? Infinity
    expect(releasedMs).toBeGreaterThanOrEqual(1500)
    expect(releasedMs).toBeLessThanOrEqual(2500)
    const leaving = new OrphanRun()
    leaving.setMember('owner', MemberState.Leaving)
    leaving.setInstanceList('entry-0')
    expect(leaving.listUntilReleased(20000)).toBe(1500)
    expect(new OrphanRun().listUntilReleased(20000, { owner: 'new', incarnation: 'n' })).toBeGreaterThanOrEqual(9000)
  })

  test('a coordinator that sees most others dead, is missing from the instance list or was paused does not release streams of others', () => {
    const cutOff = new OrphanRun()
    for (const id of ['owner', 'a', 'b']) cutOff.setMember(id, MemberState.Dead)
    cutOff.setInstanceList('entry-0', 'owner', 'a', 'b')
    expect(cutOff.listUntilReleased(20000)).toBeNull()
    cutOff.setInstanceList('entry-0', 'a', 'b')
    expect(cutOff.listUntilReleased(20000)).not.toBeNull()
    const unlisted = new OrphanRun()
    unlisted.board.members.delete('owner')
    unlisted.setInstanceList('a', 'b')
    expect(unlisted.listUntilReleased(20000)).toBeNull()
    const paused = new OrphanRun()
    paused.setMember('owner', MemberState.Dead)
    expect(paused.listUntilReleased(500)).toBeNull()
    paused.advance(10000)
    expect(paused.listUntilReleased(500)).toBeNull()
  })
})

test('streams of this instance that no request needs are released if no cancel is pending, and those that a request needs never are', () => {
  const run = new OrphanRun()
  run.advanceToDecode()
  const { server } = run.lastAction(RequestActionKind.StartDecode)
  const listStream = (work: string, incarnation: string): void => run.step({
    kind: ReservationEventKind.StreamsListed, server, totalPieces: 9, freePieces: 0, streams: [{ work, owner: 'entry-0', incarnation, stage: StreamStage.Decode, pieces: 1 }]
  })
  listStream('r.1', 'i0')
  expect(run.actionsOf(CancelWork)).toHaveLength(0)
  listStream('forgotten.1', 'i0')
  listStream('forgotten.1', 'i0')
  listStream('earlier.1', 'old')
  expect(run.actionsOf(CancelWork).map((cancel) => cancel.work)).toEqual(['forgotten.1', 'earlier.1'])
})

describe('cancellation', () => {
  test('when a caller disconnects, the work of its request is cancelled on every engine that holds some, whatever the stage', () => {
    const stages: Array<[string, (run: CoreRun) => void, number]> = [
      ['reserving', (run) => run.arriveAndAdmit(), 0],
      ['prefill', (run) => { run.arriveAndAdmit(); run.grantReservation() }, 1],
      ['transfer', (run) => { run.arriveAndAdmit(); run.grantReservation(); run.finishPrefill() }, 2],
      ['decode', (run) => run.advanceToDecode(), 1]
    ]
    for (const [, prepare, cancels] of stages) {
      const run = new OrphanRun()
      prepare(run)
      run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
      expect(run.actionsOf(CancelWork)).toHaveLength(cancels)
      expect(run.actionsOf(RequestActionKind.ReleaseReservation)).toHaveLength(1)
    }
  })

  test('an unconfirmed cancel is retried with growing delays, several times within 5 s', () => {
    const run = new OrphanRun()
    run.advanceToDecode()
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    run.advance(5000)
    expect(run.actionsOf(CancelWork).length).toBeGreaterThanOrEqual(5)
    expect(run.actionsOf(CancelWork).length).toBeLessThanOrEqual(8)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: run.lastAction(CancelWork).server, cancel: run.lastAction(CancelWork).cancel })
    expect(run.board.cancels.size).toBe(0)
  })

  test('a prefill that starts on the engine after its cancel was confirmed is cancelled again', () => {
    const run = new OrphanRun()
    run.arriveAndAdmit()
    run.grantReservation()
    run.step({ kind: RequestEventKind.CallerDisconnected, request: 'r' })
    const first = run.lastAction(CancelWork)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: first.cancel })
    run.step({ kind: RequestEventKind.PrefillFinished, request: 'r', attempt: 1, handle: 'h', computedTokens: 1, cachedTokens: 0, expiresMs: 9000 })
    expect(run.lastAction(CancelWork).cancel).toBeGreaterThan(first.cancel)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: first.cancel })
    expect(run.board.cancels.size).toBe(1)
    run.step({ kind: RequestEventKind.CancelConfirmed, work: 'r.1', server: first.server, cancel: run.lastAction(CancelWork).cancel })
    expect(run.board.cancels.size).toBe(0)
  })
})
