import * as z from 'zod'
import { DEFAULT_CROSSING_PRICE } from './domain-crossing.js'

const address = z.string().regex(/^[^:]+:\d+$/).describe('IP number and port')

/** Memory of the smallest instance that is supported, in MB. */
const DEFAULT_MEMORY_MB = 160

/** Time after which a caller that reads nothing of its complete answers is disconnected, in seconds; callers on the slowest links read something in this time. */
const DEFAULT_UNREAD_S = 60

/** Settings of `daisybarrow-gateway`. */
export const gatewaySettingsSchema = z.object({
  id: z.string().min(1).describe('Id of this instance'),
  ip: z.string().min(1).describe('IP number of this instance'),
  failureDomain: z.string().min(1).describe('Failure domain of this instance'),
  listeners: z.object({
    callers: address.describe('Listener for requests of callers'),
    readiness: address.describe('Listener for readiness checks'),
    directory: address.describe('Listener for callers that query the addresses of instances'),
    peerPort: z.int().positive().describe('Port for datagrams and snapshots between instances; the same on all instances'),
    metricsPort: z.int().positive().describe('Port of metrics and state dump')
  }),
  storeAddress: address.describe('The platform\'s store'),
  seeds: z.array(z.string()).default([]).describe('IP numbers of instances to contact first'),
  processor: z.object({
    share: z.number().positive().default(1).describe('Share of a core that this instance may use'),
    speed: z.number().positive().default(1).describe('Speed of that core, as a multiple of the usual one')
  }).prefault({}).describe('The instances with the largest share times speed coordinate the placement of requests'),
  memoryMb: z.number().positive().default(DEFAULT_MEMORY_MB).describe('Memory that this instance may use, in MB'),
  connections: z.object({
    callers: z.int().positive().optional().describe('Largest number of callers\' connections, if it is smaller than what the memory and the descriptors of the process allow'),
    directory: z.int().positive().optional().describe('The same for the directory'),
    readiness: z.int().positive().optional().describe('The same for readiness checks'),
    unreadS: z.number().positive().default(DEFAULT_UNREAD_S).describe('Time after which a connection is closed whose caller reads nothing of its complete answers, in seconds')
  }).prefault({}).describe('Bounds on what callers may occupy'),
  orderTurnMs: z.number().positive().default(3000).describe('Time within which two instances may not both give orders to a runner, in milliseconds'),
  drainMs: z.number().positive().default(2000).describe('Time for which a server takes requests after it has said that it leaves, in milliseconds'),
  graceS: z.number().positive().default(8).describe('Time from SIGTERM to SIGKILL, in seconds'),
  addressLifetimeS: z.number().positive().default(2).describe('How long callers may keep an answer of the directory, in seconds'),
  crossing: z.object({
    roundTripMs: z.number().nonnegative().default(DEFAULT_CROSSING_PRICE.roundTripMs).describe('Additional time of an exchange with a server in another failure domain, in milliseconds'),
    msPerMegabyte: z.number().nonnegative().default(DEFAULT_CROSSING_PRICE.msPerMegabyte).describe('Time that callers have to gain for each megabyte sent to another failure domain, in milliseconds')
  }).prefault({}).describe('What it costs to send work to another failure domain'),
  repeats: z.object({
    ratio: z.number().nonnegative().describe('Retries allowed for each request of a service'),
    slack: z.number().nonnegative().describe('Retries allowed to all instances together in one window, in addition to the ratio'),
    windowS: z.number().positive().describe('Length of the window in seconds')
  }),
  quota: z.object({
    windowS: z.number().positive().default(8).describe('Length of the window in which the use of an organisation is judged, in seconds'),
    overshoot: z.number().nonnegative().default(0.1).describe('Share of the quota in a window by which it may be exceeded'),
    slack: z.number().nonnegative().default(0).describe('Units by which it may be exceeded besides')
  }).prefault({}).describe('How exactly the quotas of organisations have to hold over all instances together'),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').describe('Lowest level of log lines written')
})

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
