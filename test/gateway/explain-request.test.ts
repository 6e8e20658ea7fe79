import { describe, expect, test } from '@jest/globals'
import { explainRequest } from '../../src/gateway/explain-request.js'

const lines = [
  'time=2026-05-03T22:13:00.000Z level=info event=server.added instance=n1 server=s1 service=a state=ready',
  'time=2026-05-03T22:13:05.000Z level=warn event=store.lost instance=n1 revision=26 detail="status 503"',
  'time=2026-05-03T22:13:05.100Z level=warn event=store.lost instance=n2 revision=26 detail="status 503"',
  ' 17.5 n1 time=2026-05-03T22:13:09.466Z level=warn event=send.failed instance=n1 request=r1 server=s1 outcome=broken detail="read \\"ECONNRESET\\"" ageMs=512',
  'time=2026-05-03T22:13:09.467Z level=info event=request.ended instance=n1 request=r1 ending=outcome-unknown ms=513 sentTo=s1',
  'time=2026-05-03T22:13:09.500Z level=info event=request.ended instance=n1 request=r2 ending="aborted: timed-out" ms=90 sentTo=s2',
  'time=2026-05-03T22:13:11.000Z level=info event=server.removed instance=n1 server=s1 service=a state=ready',
  'time=2026-05-03T22:14:11.000Z level=info event=server.added instance=n1 server=s1 service=a state=ready',
  'a line of something else'
]

describe('explainRequest', () => {
  test('explains a request of unknown outcome by its lines and the events of its server and its instance', () => {
    expect(explainRequest('r1', lines)).toMatchSnapshot()
  })

  test('explains an aborted request by the reason of the abort', () => {
    expect(explainRequest('r2', lines)).toMatchObject({ ending: 'aborted: timed-out', meaning: 'Its time limit passed while a server may have been working on it.' })
  })

  test('reports when no line names the request or none shows its end', () => {
    expect(explainRequest('r9', lines)).toMatchObject({ ending: null, lines: [], meaning: expect.stringContaining('No line names this request') })
    expect(explainRequest('r1', lines.slice(0, 4))).toMatchObject({ ending: null, meaning: expect.stringContaining('killed') })
  })
})
