import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { BufferBudget, type BufferHold } from '../../src/gateway/buffer-budget.js'
import { EventSplitter } from '../../src/gateway/event-splitter.js'
import { recordingLog, unboundedBuffers } from './gateway-fixtures.js'

function newSplitter (lastEventId: string | null = null, buffers: BufferHold = unboundedBuffers().hold('stream')): EventSplitter {
  return new EventSplitter({ lastEventId, buffers })
}

/** Splits a whole text, by the rules and not by the way of the code under test. */
function splitWhole (text: string): { complete: string, partial: string, ids: string[] } {
  const end = /^[^]*(?<=^|\n)\r?\n/.exec(text)?.[0].length ?? 0
  const complete = text.slice(0, end)
  return { complete, partial: text.slice(end), ids: [...complete.matchAll(/^id: ?(.*)$/gm)].map(([, id]) => id ?? '') }
}

/** Time in which a splitter takes a text of many lines without a blank one in chunks of 16 bytes, in milliseconds; the shortest of three tries. */
function timeOfEndlessEvent (bytes: number): number {
  const chunk = Buffer.from('data: 123456789\n')
  return Math.min(...[1, 2, 3].map(() => {
    const splitter = newSplitter()
    let inside = true
    const startedMs = performance.now()
    for (let sent = 0; sent < bytes; sent += chunk.length) {
      splitter.push(chunk)
      inside &&= splitter.insideEvent
    }
    const ms = performance.now() - startedMs
    expect(inside).toBe(true)
    return ms
  }))
}

describe('EventSplitter', () => {
  test('holds back a partial event and keeps the id of the last complete one', () => {
    const splitter = newSplitter('6')
    expect(splitter.push(Buffer.from('id: 7\ndata: a\n\nid: 8\nda')).toString()).toBe('id: 7\ndata: a\n\n')
    expect(splitter.lastEventId).toBe('7')
    expect(splitter.push(Buffer.from('ta: b\n')).toString()).toBe('')
    expect(splitter.push(Buffer.from('\n')).toString()).toBe('id: 8\ndata: b\n\n')
    expect(splitter.lastEventId).toBe('8')
  })

  test('discards the partial event of a stream that was cut off', () => {
    const splitter = newSplitter()
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: hal'))
    splitter.discardPartialEvent()
    expect(splitter.push(Buffer.from('id: 2\ndata: b\n\n')).toString()).toBe('id: 2\ndata: b\n\n')
  })

  test('splits events whose lines end with CRLF', () => {
    const splitter = newSplitter()
    expect(splitter.push(Buffer.from('id:3\r\ndata: a\r\n\r\nrest')).toString()).toBe('id:3\r\ndata: a\r\n\r\n')
    expect(splitter.lastEventId).toBe('3')
  })

  // Guards against streams that are resumed after the wrong event, depending on how the network cut them into chunks.
  test('finds the same events, ids and partial bytes however the text is cut into chunks', () => {
    const piece = fc.constantFrom('\n', '\r\n', '\n\n', '\r\n\r\n', '\r', ' ', 'id', ':', 'id:', 'id: ', 'id: 7\n', '\nid: 8\r\n', '\nid:9', 'data: a', 'x', '\u00e9')
    fc.assert(fc.property(fc.array(piece, { maxLength: 40 }), fc.array(fc.integer({ min: 1, max: 12 })), (pieces, lengths) => {
      const text = pieces.join('')
      const bytes = Buffer.from(text, 'latin1')
      const splitter = newSplitter()
      const received: Buffer[] = []
      for (let offset = 0, i = 0; offset < bytes.length; i += 1) {
        const length = lengths[i % Math.max(1, lengths.length)] ?? bytes.length
        received.push(splitter.push(bytes.subarray(offset, offset + length)))
        offset += length
      }
      const expected = splitWhole(text)
      expect({
        complete: Buffer.concat(received).toString('latin1'),
        partial: splitter.partialEvent.toString('latin1'),
        partialBytes: splitter.partialBytes,
        count: splitter.eventCount,
        last: splitter.lastEventId,
        inside: splitter.insideEvent
      }).toEqual({ complete: expected.complete, partial: expected.partial, partialBytes: expected.partial.length, count: expected.ids.length, last: expected.ids.at(-1) ?? null, inside: /[^\r\n]/.test(expected.partial) })
    }), { numRuns: 2000 })
  })

  // Guards against an instance that does nothing else for half a minute, because a runner sends an event in small chunks.
  test('does not do more work for a byte the longer the event is', () => {
    // Eight times the bytes: about eight times the time, or 64 times if each chunk costs as much as the event so far.
    expect(timeOfEndlessEvent(256 * 1024) / timeOfEndlessEvent(32 * 1024)).toBeLessThan(24)
  })

  // Guards against an instance that runs out of memory because many runners send an event without end.
  test('counts the bytes of a partial event until it is complete or discarded', () => {
    const budget = new BufferBudget({ limitBytes: 10_000, log: recordingLog() })
    const hold = budget.hold('stream')
    const splitter = newSplitter(null, hold)
    const heldBytes = ['id: 1\nda', 'ta: a\n', '\n', 'id: 2', '\ndata: b\n\nid: 3\n', 'x'].map((text) => {
      splitter.push(Buffer.from(text))
      return budget.heldBytes
    })
    expect(heldBytes.map((bytes, i) => bytes >= [8, 14, 0, 5, 6, 7].at(i)! && bytes < 2000)).toEqual(Array(6).fill(true))
    expect(heldBytes[2]).toBe(0)
    splitter.discardPartialEvent()
    expect(budget.heldBytes).toBe(0)
    for (let i = 0; i < 20; i += 1) splitter.push(Buffer.alloc(1000, 'a'))
    expect({ evicted: hold.evicted, held: budget.heldBytes }).toEqual({ evicted: true, held: 0 })
  })
})
