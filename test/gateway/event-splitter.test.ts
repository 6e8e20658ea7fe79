import { describe, expect, test } from '@jest/globals'
import { EventSplitter } from '../../src/gateway/event-splitter.js'

describe('EventSplitter', () => {
  test('holds back a partial event and keeps the id of the last complete one', () => {
    const splitter = new EventSplitter({ lastEventId: '6' })
    expect(splitter.push(Buffer.from('id: 7\ndata: a\n\nid: 8\nda')).toString()).toBe('id: 7\ndata: a\n\n')
    expect(splitter.lastEventId).toBe('7')
    expect(splitter.push(Buffer.from('ta: b\n')).toString()).toBe('')
    expect(splitter.push(Buffer.from('\n')).toString()).toBe('id: 8\ndata: b\n\n')
    expect(splitter.lastEventId).toBe('8')
  })

  test('discards the partial event of a stream that was cut off', () => {
    const splitter = new EventSplitter({ lastEventId: null })
    splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: hal'))
    splitter.discardPartialEvent()
    expect(splitter.push(Buffer.from('id: 2\ndata: b\n\n')).toString()).toBe('id: 2\ndata: b\n\n')
  })

  test('splits events whose lines end with CRLF', () => {
    const splitter = new EventSplitter({ lastEventId: null })
    expect(splitter.push(Buffer.from('id:3\r\ndata: a\r\n\r\nrest')).toString()).toBe('id:3\r\ndata: a\r\n\r\n')
    expect(splitter.lastEventId).toBe('3')
  })
})
