import { expect, test } from '@jest/globals'
import { ReadScheduler, type ScheduledReader } from '../../src/gateway/read-scheduler.js'

/** A connection of which each part takes a millisecond to parse. */
class FakeReader implements ScheduledReader {
  pendingBytes = 0
  paused = false
  readonly isFresh: boolean
  readonly #world: World

  constructor (options: { isFresh?: boolean, world: World }) {
    this.isFresh = options.isFresh ?? false
    this.#world = options.world
  }

  receive (bytes: number): void {
    this.pendingBytes += bytes
    this.#world.scheduler.recordPending(bytes)
    this.#world.scheduler.request(this)
  }

  parse (): boolean {
    if (this.pendingBytes === 0) return false
    this.#world.nowMs += 1
    this.pendingBytes -= 1
    this.#world.scheduler.recordPending(-1)
    return this.pendingBytes > 0
  }

  pause (): void { this.paused = true }
  resume (): void { this.paused = false }
}

class World {
  nowMs = 0
  turns: Array<() => void> = []
  readonly scheduler = new ReadScheduler({ maxPendingBytes: 100, nowMs: () => this.nowMs, defer: (callback) => { this.turns.push(callback) } })

  reader (options: { isFresh?: boolean } = {}): FakeReader {
    const reader = new FakeReader({ ...options, world: this })
    this.scheduler.add(reader)
    return reader
  }

  runTurn (): void {
    for (const turn of this.turns.splice(0)) turn()
  }
}

// Guards against a process that parses what a crowd has sent for seconds, while ordinary callers wait.
test('parses for a short time, then lets other events be handled and takes turns', () => {
  const world = new World()
  const [first, second] = [world.reader(), world.reader()]
  first.receive(40)
  second.receive(40)
  expect([first.pendingBytes, second.pendingBytes, world.nowMs]).toEqual([35, 40, 5])
  world.runTurn()
  world.runTurn()
  expect([first.pendingBytes + second.pendingBytes, Math.abs(first.pendingBytes - second.pendingBytes) < 10]).toEqual([65, true])
})

// Guards against received bytes that fill the memory while they wait to be parsed.
test('reads nothing more while too many bytes wait, and then fresh connections first', () => {
  const world = new World()
  const talker = world.reader()
  const others = Array.from({ length: 20 }, () => world.reader())
  talker.receive(120)
  const fresh = world.reader({ isFresh: true })
  expect([talker, ...others, fresh].every(({ paused }) => paused)).toBe(true)
  while (fresh.paused) world.runTurn()
  expect([talker.pendingBytes < 50, others.filter(({ paused }) => paused).length > 0]).toEqual([true, true])
  while (world.turns.length > 0) world.runTurn()
  expect([...others, talker].some(({ paused }) => paused)).toBe(false)
})
