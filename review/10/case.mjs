// An instance that watches the store for others freezes just after a new configuration; another instance of its zone serves callers all the while.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { ask, configuration, delay, Fleet, until } from '../lib-2/fleet.mjs'

const TROUBLE = process.env.TROUBLE !== '0'

/** Instances of each zone, as on the sheet of gbb-bells. */
const ZONES = { a: 3, b: 4, c: 2 }

/** Bounds of the sheet, in milliseconds. */
const CONFIG_APPLY_MS = 2000
const CONTACT_MS = 3000

/** Time from the acknowledgement of a configuration until an instance freezes, in milliseconds, and for how long it does; the sheet has up to 6 s. */
const UNTIL_FREEZE_MS = 40
const FREEZE_MS = 2200

/** Time for which callers send orders after the acknowledgement, and between two orders, in milliseconds. */
const ORDERS_MS = 2500
const SPACING_MS = 10

/** Time between two rounds, in milliseconds. The instance that callers use is never disturbed, so it is in touch all the while. */
const PAUSE_MS = 1800

/** Times that each watching instance of the zone freezes. */
const REPEATS = 7

const SERVICES = ['plain', 'plain2']

/** The instance of the zone that has made no call to the store for some time: it relies on the others. */
async function findRelying (fleet) {
  const zone = fleet.instances.filter((instance) => instance.zone === 'b')
  const idle = () => zone.filter(({ link }) => performance.now() - link.usedMs > 2500)
  if (!await until(() => idle().length === 1, 10_000, 100)) throw new Error('no instance relies on the others')
  return idle()[0]
}

/** Moves the route to the other service while an instance freezes; returns the orders that were run by the old service although they were sent too late for it. */
async function round (fleet, { number, relying, frozen }) {
  const service = SERVICES[number % 2]
  const ackMs = fleet.store.put('op/config', configurationOf(number + 1, service))
  const sentMs = new Map()
  const answers = []
  const freeze = delay(UNTIL_FREEZE_MS).then(async () => {
    if (!TROUBLE) return
    frozen.process.kill('SIGSTOP')
    await delay(FREEZE_MS)
    frozen.process.kill('SIGCONT')
  })
  for (let count = 0; performance.now() < ackMs + ORDERS_MS; count += 1) {
    const id = `order-${number}-${count}`
    sentMs.set(id, performance.now())
    answers.push(ask({ host: relying.ip, port: fleet.ports.callers, method: 'POST', path: '/order/', body: 'ok', headers: { 'X-Request-Id': id, 'X-Deadline-Ms': '1000' } }))
    await delay(SPACING_MS)
  }
  await Promise.all([...answers, freeze])
  const late = fleet.servers.filter((server) => server.service !== service).flatMap(({ runs }) => runs).filter(({ id }) => sentMs.get(id) > ackMs + CONFIG_APPLY_MS)
  const ages = late.map(({ id }) => Math.round(sentMs.get(id) - ackMs))
  fleet.record(`round ${number}: the route moves to ${service}, ${TROUBLE ? `${frozen.id} freezes` : 'nothing freezes'}, callers use ${relying.id}: ${sentMs.size} orders sent, ${late.length} sent later than ${CONFIG_APPLY_MS} ms after the acknowledgement and run by the old service${late.length > 0 ? `, the last one after ${Math.max(...ages)} ms` : ''}`)
  await delay(PAUSE_MS)
  return late.length
}

function configurationOf (version, service) {
  return configuration(version, { service, services: [{ Name: 'plain2', MaxConnections: 110 }] })
}

const fleet = new Fleet({ folder: dirname(fileURLToPath(import.meta.url)) })
let exitCode = 2
try {
  await fleet.open()
  fleet.store.put('op/config', configurationOf(1, 'plain'))
  for (const service of SERVICES) for (const zone of ['a', 'b', 'c']) await fleet.addServer({ id: `i-${service}-${zone}`, zone, service })
  for (const [zone, count] of Object.entries(ZONES)) for (let index = 0; index < count; index += 1) await fleet.addInstance({ zone })
  await fleet.ready()
  await delay(CONTACT_MS + 1000)
  const relying = await findRelying(fleet)
  const watching = fleet.instances.filter((instance) => instance.zone === 'b' && instance !== relying)
  let late = 0
  for (let number = 1; number <= REPEATS * watching.length; number += 1) late += await round(fleet, { number, relying, frozen: watching[number % watching.length] })
  fleet.record(`CONFIG: ${late} orders were run by the old service (broken: one or more)`)
  exitCode = late > 0 ? 1 : 0
} catch (error) {
  fleet.record(`could not run: ${error.stack}`)
} finally {
  await fleet.close()
}
process.exit(exitCode)
