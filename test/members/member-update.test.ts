import { expect, test } from '@jest/globals'
import { MemberState } from '../../src/board/member.js'
import { createIncarnation } from '../../src/members/incarnation.js'
import { supersedes } from '../../src/members/member-update.js'

const claim = (incarnation: string, refutation: number, state: MemberState): { incarnation: string, refutation: number, state: MemberState } =>
  ({ incarnation, refutation, state })

test('guards against an older claim that replaces a newer one: incarnation decides, then refutation, then state', () => {
  const earlier = createIncarnation(1800000000000, 'ffffffff')
  const later = createIncarnation(1800000000001, '00000000')
  const order = [
    claim('', 9, MemberState.Dead),
    claim(earlier, 0, MemberState.Alive),
    claim(earlier, 0, MemberState.Suspect),
    claim(earlier, 0, MemberState.Dead),
    claim(earlier, 1, MemberState.Leaving),
    claim(later, 0, MemberState.Alive)
  ]
  for (const [index, older] of order.entries()) {
    for (const newer of order.slice(index + 1)) {
      expect(supersedes(newer, older)).toBe(true)
      expect(supersedes(older, newer)).toBe(false)
    }
  }
})
