import { describe, expect, test } from '@jest/globals'
import { Writable } from 'node:stream'
import { BoundedOutput } from '../../src/logs/bounded-output.js'

function outputTo (stream: Writable): { output: BoundedOutput, clock: { ms: number }, dropped: () => number } {
  const clock = { ms: 0 }
  let dropped = 0
  return { output: new BoundedOutput({ stream, nowMs: () => clock.ms, onDrop: () => { dropped += 1 } }), clock, dropped: () => dropped }
}

function collector (): { stream: Writable, text: () => string } {
  let text = ''
  return { stream: new Writable({ write (chunk, _encoding, done) { text += String(chunk); done() } }), text: () => text }
}

describe('BoundedOutput', () => {
  test('drops ordinary lines above the limit before lines about failures, and logs how many were dropped', () => {
    const { stream, text } = collector()
    const { output, clock, dropped } = outputTo(stream)
    for (let line = 0; line < 500; line += 1) output.write(`good ${line}`)
    output.write('failed', true)
    output.flush()
    expect(text()).toContain('failed')
    expect(text()).toContain('good 0')
    expect(dropped()).toBeGreaterThan(0)
    clock.ms = 1000
    output.write('next')
    output.flush()
    expect(text()).toContain(`event=log.dropped lines=${dropped()}`)
  })

  test('never waits for a reader that does not read, and buffers a bounded number of bytes for it', () => {
    const stuck = new Writable({ write () {}, highWaterMark: 1 })
    const { output, clock, dropped } = outputTo(stuck)
    const line = 'x'.repeat(2000)
    for (let second = 0; second < 20; second += 1) {
      clock.ms = second * 1000
      for (let written = 0; written < 100; written += 1) output.write(line)
      output.flush()
    }
    expect(dropped()).toBeGreaterThan(0)
    expect(stuck.writableLength).toBeLessThan(1024 * 1024)
  })
})
