import { describe, expect, test } from '@jest/globals'
import { BufferBudget } from '../../src/gateway/buffer-budget.js'
import { recordingLog } from './gateway-fixtures.js'

describe('BufferBudget', () => {
  // Guards against answers without end that displace the small ones of other callers.
  test('ends the exchange with the most bytes when the sum exceeds the limit', () => {
    const budget = new BufferBudget({ limitBytes: 100, log: recordingLog() })
    const [small, large] = [budget.hold('small'), budget.hold('large')]
    const ended: string[] = []
    small.onEvict = () => ended.push('small')
    large.onEvict = () => ended.push('large')
    expect([large.add(80), small.add(15), small.add(15)]).toEqual([true, true, true])
    expect({ ended, held: budget.heldBytes, takesMore: large.add(1), evicted: large.evicted }).toEqual({ ended: ['large'], held: 30, takesMore: false, evicted: true })
  })

  // Guards against the sound answers of the store, which are larger than most exchanges, that are ended in place of these.
  test('spares an exchange within its allowance', () => {
    const budget = new BufferBudget({ limitBytes: 100, log: recordingLog() })
    const [store, caller] = [budget.hold('store', { allowanceBytes: 60 }), budget.hold('caller')]
    expect([store.add(60), caller.add(30), store.add(5), caller.add(10)]).toEqual([true, true, true, false])
    expect([store.add(50), budget.heldBytes]).toEqual([false, 0])
  })

  test('tells the exchange that adds the bytes if it is the largest itself', () => {
    const budget = new BufferBudget({ limitBytes: 100, log: recordingLog() })
    const hold = budget.hold('only')
    expect([hold.add(100), hold.add(1), budget.heldBytes]).toEqual([true, false, 0])
  })

  // Guards against a budget that fills up with the bytes of ended exchanges.
  test('counts no bytes of exchanges that have ended', () => {
    const budget = new BufferBudget({ limitBytes: 100, log: recordingLog() })
    for (let i = 0; i < 50; i++) {
      const hold = budget.hold('short')
      expect(hold.add(90)).toBe(true)
      hold.add(-40)
      hold.release()
      hold.release()
      hold.add(-50)
    }
    expect(budget.heldBytes).toBe(0)
  })

  // Guards against a budget that never ends an exchange again: a body whose caller had left took its bytes off twice.
  test('takes the bytes of an ended exchange off only once, and takes no more of it', () => {
    const budget = new BufferBudget({ limitBytes: 100, log: recordingLog() })
    const hold = budget.hold('left')
    hold.add(90)
    hold.release()
    expect([hold.add(-90), hold.add(10), budget.heldBytes, hold.evicted]).toEqual([false, false, 0, false])
  })
})
