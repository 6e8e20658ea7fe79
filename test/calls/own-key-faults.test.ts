import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ClaimResult, KeyRecorder } from '../../src/adapters/key-recorder.js'
import { MemberState } from '../../src/board/member.js'
import { CallEventKind } from '../../src/calls/call-event.js'
import { RefusalClass, refusalDescriptions, RefusalKind } from '../../src/errors/refusal.js'
import type { KeyValueService } from '../../src/ports/key-value.js'
import { FakeKeyValue, WriteFault } from '../adapters/fake-key-value.js'
import { CallFleet } from './call-fleet.js'

const SEED = 5

const IDS = ['a', 'b', 'c']

const KEYS = ['k1', 'k2', 'k3', 'k4', 'k5', 'k6']

/** Instances with real key recorders on one in-memory key-value service, under a sequence of calls and faults. */
class Simulation {
  readonly fleet = new CallFleet(IDS)
  readonly keyValue = new FakeKeyValue()
  readonly dead = new Set<string>()
  /** Number of dispatches that may have reached a backend server, by key. */
  readonly runs = new Map<string, number>()
  readonly dispatched: Array<{ id: string, call: string, key: string }> = []
  readonly errors: unknown[] = []
  callCount = 0
  /** False once an instance was killed or a connection broke, since outcomes may then stay unknown. */
  outcomesKnown = true

  constructor () {
    const recorders = new Map(IDS.map((id) => [id, new KeyRecorder({
      self: { id, incarnation: `${id}-inc` },
      keyValue: this.keyValue as unknown as KeyValueService,
      nowMs: () => this.fleet.nowMs,
      pause: async (ms) => { this.fleet.nowMs += ms }
    })]))
    this.fleet.onOutcome = (id, { outcome, ...claim }) => {
      recorders.get(id)!.recordOutcome(claim, outcome).catch((error: unknown) => this.errors.push(error))
    }
    this.fleet.onClaim = (id, { kind, ...claim }) => {
      const { organisation, key, nonce } = claim
      recorders.get(id)!.claim(claim).then((claimed) => {
        if (this.dead.has(id)) return
        if (claimed.result === ClaimResult.Recorded) this.step(id, { kind: CallEventKind.KeyClaimed, organisation, key, nonce })
        if (claimed.result === ClaimResult.Taken) this.step(id, { ...claimed.record, kind: CallEventKind.KeyAlreadyClaimed, nonce })
        if (claimed.result === ClaimResult.Unrecorded) this.step(id, { kind: CallEventKind.KeyClaimFailed, organisation, key, nonce, refusal: RefusalKind.KeyStoreUnavailable })
      }).catch((error: unknown) => this.errors.push(error))
    }
  }

  step (id: string, event: object): void {
    this.#countDispatches(id, () => this.fleet.step(id, { ...event } as never))
  }

  arrive (id: string, key: string): string {
    this.callCount += 1
    const call = `call-${this.callCount}`
    if (!this.dead.has(id)) this.#countDispatches(id, () => this.fleet.arrive(id, call, { key }))
    return call
  }

  /** Ends the oldest dispatched call: refused before any byte was sent if `ending` is 0, connection broken if it is 1, otherwise answered. */
  end (ending: number): void {
    const dispatch = this.dispatched.shift()
    if (dispatch === undefined || this.dead.has(dispatch.id)) return
    if (ending === 0) {
      this.runs.set(dispatch.key, (this.runs.get(dispatch.key) ?? 0) - 1)
      this.#countDispatches(dispatch.id, () => this.fleet.fail(dispatch.id, dispatch.call, false))
      return
    }
    if (ending === 1) this.outcomesKnown = false
    this.#countDispatches(dispatch.id, () => ending === 1 ? this.fleet.fail(dispatch.id, dispatch.call, true) : this.fleet.finish(dispatch.id, dispatch.call))
  }

  kill (id: string): void {
    if (this.dead.size > 0) return
    this.outcomesKnown = false
    this.dead.add(id)
    this.fleet.unresponsive.add(id)
    for (const other of IDS.filter((peer) => peer !== id)) this.fleet.board(other).members.get(id)!.state = MemberState.Dead
  }

  #countDispatches (id: string, operation: () => void): void {
    const before = this.fleet.sent.length
    operation()
    for (const { call, key } of this.fleet.sent.slice(before)) {
      this.runs.set(key!, (this.runs.get(key!) ?? 0) + 1)
      const holder = IDS.find((instance) => this.fleet.board(instance).calls.get(call)?.server !== null && this.fleet.board(instance).calls.has(call)) ?? id
      this.dispatched.push({ id: holder, call, key: key! })
    }
  }
}

async function flushMicrotasks (): Promise<void> {
  for (let turn = 0; turn < 400; turn += 1) await Promise.resolve()
}

const operationArbitrary = fc.tuple(
  fc.constantFrom('arrive', 'arrive', 'arrive', 'end', 'end', 'reply-lost', 'dropped', 'late', 'apply-late', 'outage', 'readable', 'kill', 'flush', 'flush'),
  fc.nat(2), fc.nat(KEYS.length - 1), fc.nat(5))

/** Applies an operation; the second field is the index of an instance, or the ending of a call if the operation is 'end'. */
async function applyOperation (simulation: Simulation, [kind, instanceOrEnding, keyIndex, turns]: [string, number, number, number]): Promise<void> {
  const { keyValue } = simulation
  if (kind === 'arrive') simulation.arrive(IDS[instanceOrEnding]!, KEYS[keyIndex]!)
  if (kind === 'end') simulation.end(instanceOrEnding)
  if (kind === 'reply-lost') keyValue.faults.push(WriteFault.ReplyLost)
  if (kind === 'dropped') keyValue.faults.push(WriteFault.Dropped)
  if (kind === 'late') keyValue.faults.push(WriteFault.Late)
  if (kind === 'apply-late') keyValue.applyLateWrites()
  if (kind === 'outage') keyValue.faults.push(WriteFault.Dropped, WriteFault.Late)
  if (kind === 'outage' || kind === 'readable') keyValue.readable = kind === 'readable'
  if (kind === 'kill') simulation.kill(IDS[instanceOrEnding]!)
  if (kind === 'flush') await flushMicrotasks()
  for (let turn = 0; turn < turns; turn += 1) await Promise.resolve()
}

function isNotRun (reply: string): boolean {
  return Object.entries(refusalDescriptions).some(([kind, description]) => kind === reply && description.class === RefusalClass.NotRun)
}

test('despite lost replies, dropped and late writes and the death of an instance, no call with a caller\'s own key runs twice and no call refused as not run has run', async () => {
  let answered = 0
  await fc.assert(fc.asyncProperty(fc.array(operationArbitrary, { minLength: 5, maxLength: 40 }), async (operations) => {
    const simulation = new Simulation()
    for (const operation of operations) await applyOperation(simulation, operation)
    simulation.keyValue.faults = []
    simulation.keyValue.readable = true
    await flushMicrotasks()
    while (simulation.dispatched.length > 0) simulation.end(2)
    simulation.keyValue.applyLateWrites()
    await flushMicrotasks()
    const finalCalls: string[] = []
    for (const key of KEYS) {
      finalCalls.push(simulation.arrive(IDS.find((id) => !simulation.dead.has(id))!, key))
      await flushMicrotasks()
      while (simulation.dispatched.length > 0) simulation.end(2)
    }
    simulation.fleet.advance(10_000)
    expect(simulation.errors).toEqual([])
    for (const [key, runs] of simulation.runs) expect([key, runs <= 1]).toEqual([key, true])
    for (const [call, replies] of Object.entries(simulation.fleet.replies)) {
      expect([call, replies.length]).toEqual([call, 1])
      if (replies.some(isNotRun)) expect(simulation.fleet.storedAnswers.has(call)).toBe(false)
    }
    for (const call of finalCalls) {
      const [reply = ''] = simulation.fleet.replies[call] ?? []
      // Unless an instance was killed or a connection broke, no outcome may stay unknown, whatever faults the key-value service had.
      if (simulation.outcomesKnown) expect(reply).toMatch(/^answer of/)
      if (reply.startsWith('answer of')) answered += 1
    }
  }), { seed: SEED, numRuns: 400 })
  expect(answered).toBeGreaterThan(400)
})
