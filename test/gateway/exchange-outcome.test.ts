import { expect, test } from '@jest/globals'
import { RouteKind } from '../../src/gateway/configuration.js'
import { countsAsAttempt, ExchangeOutcome, provesNotRun, mayTryOtherServer } from '../../src/gateway/exchange-outcome.js'
import { route } from './gateway-fixtures.js'

test('each outcome determines for each kind of route whether a request may be sent to another server', () => {
  const routes = {
    idempotent: route({ kind: RouteKind.Idempotent }),
    nonIdempotent: route({ kind: RouteKind.NonIdempotent }),
    stream: route({ kind: RouteKind.Streaming }),
    resumableStream: route({ kind: RouteKind.Streaming, resumable: true })
  }
  const table = Object.values(ExchangeOutcome).map((outcome) => ({
    outcome,
    surelyNotRun: provesNotRun(outcome),
    countsAsAttempt: countsAsAttempt(outcome),
    elsewhere: Object.entries(routes).filter(([, candidate]) => mayTryOtherServer(candidate, outcome)).map(([name]) => name)
  }))
  expect(table).toMatchSnapshot()
})
