// The store turns three instances of a zone away without an answer while a server leaves; the fourth one reaches the store all the while.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { ask, configuration, delay, Fleet } from '../lib-2/fleet.mjs'

const TROUBLE = process.env.TROUBLE !== '0'

/** Instances of each zone, as on the sheet of gbb-bells. */
const ZONES = { a: 3, b: 4, c: 2 }

/** Bounds of the sheet, in milliseconds. */
const DRAIN_MS = 2000
const CONTACT_MS = 3000

/** Time for which the store turns instances away, in milliseconds; the sheets have up to 9,000. */
const AWAY_MS = 5000

/** Time from the start of a server until the store turns instances away, and from then until another server leaves, in milliseconds. */
const AFTER_START_MS = 150
const UNTIL_LEAVING_MS = 30

/** Time from the acknowledgement until the leaving server exits, in milliseconds: DrainMs and a little longer. */
const EXIT_MS = DRAIN_MS + 100

/** When callers send orders after the store has acknowledged that the server leaves, from and until, and the time between two orders, in milliseconds. Before, the instance has no answer of the server, which says in each one that it leaves. */
const ORDERS_FROM_MS = DRAIN_MS + 20
const ORDERS_UNTIL_MS = 4000
const SPACING_MS = 10

/** Time for which a server runs an order, in milliseconds. */
const WORK_MS = 60

/** Lets a server leave and returns the orders that reached it too late, by a path of instances in touch. */
async function round (fleet, number, reaching) {
  const zone = fleet.instances.filter((instance) => instance.zone === 'b')
  const away = zone.filter((instance) => instance !== reaching)
  const leaving = fleet.servers[fleet.servers.length - 1]
  await fleet.addServer({ id: `i-new-${number}`, zone: 'b', workMs: WORK_MS })
  await delay(AFTER_START_MS)
  if (TROUBLE) for (const { link } of away) link.setSilent(true)
  await delay(UNTIL_LEAVING_MS)
  leaving.isLeaving = true
  const ackMs = fleet.store.put(`servers/${leaving.id}`, leaving.entry('draining'))
  fleet.record(`round ${number}: ${TROUBLE ? `the store turns ${away.map(({ id }) => id).join(', ')} away` : 'the store serves all'}; ${leaving.id} leaves; callers use ${reaching.id}`)
  setTimeout(() => leaving.exit(), EXIT_MS)
  await delay(ORDERS_FROM_MS - (performance.now() - ackMs))
  const sentMs = new Map()
  const answers = []
  for (let count = 0; performance.now() < ackMs + ORDERS_UNTIL_MS; count += 1) {
    const id = `order-${number}-${count}`
    sentMs.set(id, performance.now())
    answers.push(ask({ host: reaching.ip, port: fleet.ports.callers, method: 'POST', path: '/order/', body: 'ok', headers: { 'X-Request-Id': id, 'X-Deadline-Ms': '1000' } }))
    await delay(SPACING_MS)
  }
  const statuses = (await Promise.all(answers)).map(({ status }) => status)
  await delay(AWAY_MS - ORDERS_UNTIL_MS)
  for (const { link } of away) link.setSilent(false)
  const late = leaving.runs.filter(({ id, atMs }) => sentMs.get(id) > ackMs + DRAIN_MS && atMs > ackMs + DRAIN_MS)
  const lastMs = leaving.runs.filter(({ id }) => sentMs.has(id)).reduce((max, { atMs }) => Math.max(max, atMs - ackMs), 0)
  fleet.record(`round ${number}: ${sentMs.size} orders sent; the last one reached ${leaving.id} ${Math.round(lastMs)} ms after the acknowledgement; ${late.length} later than ${DRAIN_MS} ms: ${late.map(({ id, atMs }) => `${id} after ${Math.round(atMs - ackMs)} ms`).join(', ') || 'none'}`)
  fleet.record(`round ${number}: ${statuses.filter((status) => status === 200).length} orders answered with success, ${statuses.filter((status) => status !== 200 && status !== 503).length} without a known outcome`)
  fleet.store.remove(`servers/${leaving.id}`)
  // All instances are in touch again before the next round.
  await delay(CONTACT_MS + 2000)
  return late.length
}

const fleet = new Fleet({ folder: dirname(fileURLToPath(import.meta.url)) })
let exitCode = 2
try {
  await fleet.open()
  fleet.store.put('op/config', configuration(1))
  for (const zone of ['a', 'c', 'b']) await fleet.addServer({ id: `i-${zone}`, zone, workMs: WORK_MS })
  for (const [zone, count] of Object.entries(ZONES)) for (let index = 0; index < count; index += 1) await fleet.addInstance({ zone, drainMs: DRAIN_MS })
  await fleet.ready()
  await delay(CONTACT_MS + 1000)
  let late = 0
  for (const [number, reaching] of fleet.instances.filter(({ zone }) => zone === 'b').entries()) late += await round(fleet, number + 1, reaching)
  fleet.record(`DRAIN: ${late} orders reached a leaving server too late (broken: one or more)`)
  exitCode = late > 0 ? 1 : 0
} catch (error) {
  fleet.record(`could not run: ${error.stack}`)
} finally {
  await fleet.close()
}
process.exit(exitCode)
