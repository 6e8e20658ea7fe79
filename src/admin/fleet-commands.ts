import { request } from 'undici'
import { type Command, type CommandContext, done, ExitCode, formatTable, UsageError } from './command.js'
import { type InstanceStatus, operatorAddresses, readInstanceStatus } from './instance-status.js'

async function addressesOf ({ flags, settings }: CommandContext): Promise<string[]> {
  const addresses = flags.operators.length > 0 ? flags.operators : await operatorAddresses(settings())
  if (addresses.length === 0) throw new UsageError('no entry instance is known. Give --operators HOST:PORT, or set operators or instanceListUrl in the settings.')
  return addresses
}

/** Commands about the entry instances, by name. */
export const fleetCommands: Record<string, Command> = {
  status: async (context) => {
    const statuses = await readInstanceStatus(await addressesOf(context))
    const highest = Math.max(...statuses.map(({ version }) => version))
    const complete = statuses.every(({ fault, version }) => fault === '' && version === highest)
    const text = formatTable(statuses.map((status) => statusRow(status, highest)))
    return { exitCode: complete ? ExitCode.Done : ExitCode.Incomplete, value: { highest, complete, instances: statuses }, text }
  },
  state: async (context) => {
    const [address] = await addressesOf(context)
    const answer = await request(`http://${address}/state`)
    const text = (await answer.body.text()).trimEnd()
    return done(JSON.parse(text), text)
  }
}

function statusRow ({ instance, address, failureDomain, version, sinceMs, ready, fault }: InstanceStatus, highest: number): Record<string, string | number | boolean> {
  const state = fault !== '' ? `unreachable: ${fault}` : version === highest ? 'current' : 'behind'
  return { instance, address, failureDomain, version, since: sinceMs === 0 ? '' : new Date(sinceMs).toISOString(), ready, state }
}
