import { call } from '../lib/call.mjs'
import { BOUNDS, configuration, delay, entry, Exit, Fleet, listen, Record } from '../lib/fleet.mjs'
import { Runner } from '../lib/runner.mjs'
import { Store } from '../lib/store.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const GATEWAYS = 3
/** Pieces of a short stream and of the one that is judged. */
const SHORT_EVENTS = 3
const LONG_EVENTS = 70
/** Answers of each decode runner for one without a length: the site's runners spoil a share of 0.02 at most. */
const ANSWERS_BEFORE = 60
const KILL_AFTER_MS = 700

const record = new Record(new URL('record.txt', import.meta.url))
const fleet = new Fleet({ record })
const store = new Store()
const servers = [store.server]
let exit = Exit.NotRun

async function startRunner (number, options) {
  const ip = fleet.ip(100 + number)
  const id = `i-${number}`
  const runner = new Runner({ id, record: (event, fields) => record.line(event, fields), ...options })
  await listen(runner.server, ip, fleet.ports.runner)
  servers.push(runner.server)
  store.put(`servers/${id}`, entry({ service: 'pattern-llm', address: `${ip}:${fleet.ports.runner}`, stage: runner.stage, slots: 64 }))
  return runner
}

function stream (gateway, id, onStart) {
  record.line('sent', { request: id, gateway: gateway.number })
  return call(gateway.callers, { id, path: '/tone/sheet', headers: { 'X-Model': 'm', 'X-Token-Counts': '100,70', 'X-Prompt-Prefix': `aa:50,${id}:50` }, deadlineMs: 14_000, body: 'sheet', onStart })
}

function noteAnswer (answer) {
  const pieces = answer.body.split('\n\n').length - 1
  record.line('answered', { request: answer.id, status: answer.status, framing: answer.framing, complete: answer.complete, pieces, signature: answer.headers['x-response-signature'], failed: answer.failed })
  return pieces
}

try {
  await fleet.choosePorts()
  await listen(store.server, fleet.ip(1), fleet.ports.store)
  store.put('op/config', configuration(3))
  const events = (request) => request.startsWith('long') ? LONG_EVENTS : SHORT_EVENTS
  await startRunner(1, { stage: 'prefill' })
  const decoders = [await startRunner(2, { stage: 'decode', workMs: 20, events }), await startRunner(3, { stage: 'decode', workMs: 20, events })]
  for (let number = 1; number <= GATEWAYS; number += 1) fleet.start(number, { storeAddress: `${fleet.ip(1)}:${fleet.ports.store}` })
  await fleet.ready()
  await delay(BOUNDS.ContactMs)
  for (let sent = 0; sent < 2 * ANSWERS_BEFORE; sent += 10) {
    const batch = Array.from({ length: 10 }, (_, index) => stream(fleet.gateways[1 + index % GATEWAYS], `short${sent + index}`))
    for (const answer of await Promise.all(batch)) noteAnswer(answer)
  }
  // Either runner may run it, and answers it without a length.
  for (const runner of decoders) runner.unframed.add('long1')
  const gateway = fleet.gateways[2]
  const answer = await stream(gateway, 'long1', () => {
    record.line('begun', { request: 'long1' })
    if (TROUBLE) {
      setTimeout(() => {
        record.line('killed', { gateway: gateway.number })
        gateway.child.kill('SIGKILL')
      }, KILL_AFTER_MS)
    }
  })
  const pieces = noteAnswer(answer)
  const looksComplete = answer.status === 200 && answer.complete && answer.headers['x-response-signature'] !== undefined
  if (answer.framing === undefined) record.line('not-run', { reason: 'no answer' })
  else exit = looksComplete && pieces < LONG_EVENTS ? Exit.Broken : Exit.Held
  record.line('verdict', { pieces, of: LONG_EVENTS, looksComplete, exit })
} catch (error) {
  record.line('not-run', { error: String(error.stack) })
} finally {
  fleet.stop()
  for (const server of servers) {
    server.close()
    server.closeAllConnections()
  }
  record.close()
  process.exit(exit)
}
