import { afterEach, describe, expect, test } from '@jest/globals'
import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'
import { UnexpectedExits } from '../../src/soak/unexpected-exits.js'
import { ProcessWatch } from '../../src/soak/process-watch.js'

let stop: () => void

afterEach(() => { stop() })

describe('ProcessWatch', () => {
  // Guards against a soak that does not notice an instance above its memory, also if the memory was freed between two looks.
  test.each([[100, 1], [1000, 0]])('with a limit of %d MB, reports %d processes that used more for a moment', async (memoryMb, reports) => {
    const child: ChildProcess = spawn(process.execPath, ['--expose-gc', '-e', 'let a = Buffer.alloc(200e6, 1); a = null; gc(); console.log(1); setInterval(() => {}, 1000)'], { stdio: ['ignore', 'pipe', 'inherit'] })
    stop = () => { child.kill('SIGKILL') }
    await once(child.stdout as NodeJS.EventEmitter, 'data')
    const watch = new ProcessWatch({ fleet: { instances: [{ ip: '10.0.0.1', process: child }] as never, unexpectedExits: new UnexpectedExits() }, memoryMb })
    watch.stop()
    expect(watch.violations()).toEqual(Array(reports).fill(expect.stringMatching(/^10\.0\.0\.1: its process used [23]\d\d MB of 100 MB, more than allowed since 2/)))
  })

  // Guards against a soak that does not notice a process that ends by itself, and against one that takes an end of its own making for it.
  test('reports a process that nobody has ended', async () => {
    const [crashed, ended] = [spawn(process.execPath, ['-e', 'process.exit(1)']), spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)'])]
    stop = () => { ended.kill('SIGKILL') }
    const unexpectedExits = new UnexpectedExits()
    unexpectedExits.watch(crashed, '10.0.0.1')
    unexpectedExits.watch(ended, '10.0.0.2')
    unexpectedExits.expectExit(ended)
    ended.kill('SIGKILL')
    await Promise.all([once(crashed, 'exit'), once(ended, 'exit')])
    const watch = new ProcessWatch({ fleet: { instances: [], unexpectedExits }, memoryMb: 1 })
    expect(watch.violations()).toEqual(['10.0.0.1: its process ended by itself (code 1, signal null)'])
  })
})
