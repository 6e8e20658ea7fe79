import { expect, test } from '@jest/globals'
import { MemberState } from '../../src/board/member.js'
import { MembershipModel, type ModelInstance } from '../../src/measure/membership-model.js'
import { takeUpdates } from '../../src/members/gossip.js'
import { MAX_UPDATES_PER_MESSAGE } from '../../src/members/member-timing.js'
import { ServerEventKind } from '../../src/placement/server-event.js'

function settledModel (instances = 9): { model: MembershipModel, victim: ModelInstance } {
  const model = new MembershipModel({ instances, seed: 7 })
  model.runFor(10000)
  model.changes.length = 0
  return { model, victim: model.instances[4] as ModelInstance }
}

function viewsOf (model: MembershipModel, subject: ModelInstance): string[] {
  const others = model.instances.filter((instance) => instance !== subject && instance.up)
  return [...new Set(others.map(({ core }) => core.board.members.get(subject.id)?.state ?? 'unknown'))]
}

test('guards against trust in a stale instance list: all others declare a killed instance dead within 5 s although it stays listed, and see it alive after its restart', () => {
  const { model, victim } = settledModel()
  const before = victim.core.board.self.incarnation
  model.kill(victim)
  model.runFor(5000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Dead])
  model.runFor(600000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Dead])
  model.restart(victim)
  model.runFor(3000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Alive])
  const seen = model.instances[0]?.core.board.members.get(victim.id)?.incarnation ?? ''
  expect(seen > before).toBe(true)
})

test('guards against a live instance declared dead: an instance that is paused for 2 s is suspected and refutes the suspicion', () => {
  const { model, victim } = settledModel()
  model.pause(victim, 2000)
  model.runFor(6000)
  expect(model.changes.some(({ member, to }) => member === victim.id && to === MemberState.Suspect)).toBe(true)
  expect(model.changes.filter(({ to }) => to === MemberState.Dead)).toEqual([])
  expect(viewsOf(model, victim)).toEqual([MemberState.Alive])
})

test('guards against an instance that declares others dead after its own pause, and against others that keep it dead after the pause', () => {
  const { model, victim } = settledModel()
  model.pause(victim, 20000)
  model.runFor(19000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Dead])
  model.runFor(6000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Alive])
  expect(model.changes.filter(({ observer, to }) => observer === victim.id && to !== MemberState.Alive)).toEqual([])
})

test('guards against a suspicion because of one broken connection between two instances: other members probe on their behalf', () => {
  const { model, victim } = settledModel()
  const pair = ['entry-0', victim.id]
  model.cut = (from, to) => pair.includes(from.id) && pair.includes(to.id)
  model.runFor(60000)
  expect(model.changes).toEqual([])
})

test('guards against an instance that takes answers missed during its own pause for the death of another', () => {
  const { model, victim } = settledModel()
  const dead = model.instances[0] as ModelInstance
  const view = (): string | undefined => victim.core.board.members.get(dead.id)?.state
  model.kill(dead)
  while (view() === MemberState.Alive) model.runFor(10)
  model.cut = (_from, to) => to === victim
  model.pause(victim, 5000)
  model.runFor(6600)
  expect(view()).toBe(MemberState.Suspect)
})

test('guards against views that stay split after a network partition: both sides see each other alive again', () => {
  const { model } = settledModel()
  model.cut = (from, to) => (from.failureDomain === 'mu-north-a') !== (to.failureDomain === 'mu-north-a')
  model.runFor(60000)
  expect(model.wrongViews()).toBe(36)
  model.cut = () => false
  model.runFor(20000)
  expect(model.wrongViews()).toBe(0)
})

test('guards against new work for a leaving instance: all others see it as leaving within 1 s, and still do while it does not answer, until it is dead', () => {
  const { model, victim } = settledModel()
  victim.core.board.drainingSinceMs = model.nowMs
  model.runFor(1000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Leaving])
  model.kill(victim)
  model.runFor(1000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Leaving])
  model.runFor(4000)
  expect(viewsOf(model, victim)).toEqual([MemberState.Dead])
})

test('guards against an empty or incomplete instance list that removes live members from the view', () => {
  const { model, victim } = settledModel()
  for (const instances of [[], [{ id: 'entry-0', callerAddress: '', peerAddress: '', failureDomain: '', region: '', leaving: false }]]) {
    model.step(victim, { kind: ServerEventKind.InstanceListRead, servers: [], instances })
    expect(victim.core.board.members.size).toBe(8)
  }
})

test('guards against messages that grow with the number of deaths, and against updates that are sent without end', () => {
  const { model, victim } = settledModel(30)
  for (const instance of model.instances.slice(10)) model.kill(instance)
  const { board } = victim.core
  for (let step = 0; step < 100 && board.membership.updates.size <= MAX_UPDATES_PER_MESSAGE; step += 1) model.runFor(50)
  expect(board.membership.updates.size).toBeGreaterThan(MAX_UPDATES_PER_MESSAGE)
  expect(takeUpdates(board, 'entry-0').length).toBe(MAX_UPDATES_PER_MESSAGE)
  model.runFor(30000)
  expect(board.membership.updates.size).toBe(0)
})
