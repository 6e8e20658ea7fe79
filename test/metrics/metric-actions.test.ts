import { expect, test } from '@jest/globals'
import type { Payloads } from '../../src/adapters/payloads.js'
import { RefusalKind } from '../../src/errors/refusal.js'
import { countActions } from '../../src/metrics/metric-actions.js'
import { Metrics } from '../../src/metrics/metrics.js'
import { RequestActionKind } from '../../src/requests/request-action.js'

test('answers and refusals are counted and still passed to their handlers', async () => {
  const metrics = new Metrics()
  const handled: string[] = []
  const payloads: Payloads = new Map([['r', { prompt: '', model: 'm', stream: false, response: null as never, tokens: [], delivered: 0, connection: 0, arrivedMs: 1000, firstTokenMs: 1250 }]])
  const handlers = countActions({
    [RequestActionKind.AnswerRequest]: ({ request }) => { handled.push(request) },
    [RequestActionKind.RefuseRequest]: ({ refusal }) => { handled.push(refusal) }
  }, { metrics, payloads })
  await handlers[RequestActionKind.AnswerRequest]?.({ kind: RequestActionKind.AnswerRequest, request: 'r', tokens: 3 })
  await handlers[RequestActionKind.RefuseRequest]?.({ kind: RequestActionKind.RefuseRequest, request: 's', refusal: RefusalKind.Overloaded, detail: '', retryAfterMs: 0 })
  expect(handled).toEqual(['r', 'overloaded'])
  const lines = (await metrics.registry.metrics()).split('\n').filter((line) => /^daisybarrow_(answers_total|refusals_total|first_token_seconds_sum)/.test(line))
  expect(lines).toMatchSnapshot()
})
