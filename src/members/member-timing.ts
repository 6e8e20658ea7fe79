/** Probe period; an instance begins a probe of one member in each. */
export const PROBE_PERIOD_MS = 400

/** Time to wait for the answer to a direct probe before other members are requested to probe. */
export const DIRECT_PROBE_TIMEOUT_MS = 150

/** Time after the direct probe at which a member is suspected if it has answered neither that probe nor the indirect ones. */
export const PROBE_TIMEOUT_MS = 400

/**
 * Time in which a suspicion can be refuted. Together with the probe timeout it is about 2 s, so that an instance that was
 * paused for less can refute the suspicion. A longer time delays the release of engine memory.
 */
export const SUSPICION_TIMEOUT_MS = 1650

/** Time that an instance adds to a suspicion that only others reported: the instances whose own probes failed decide first. */
export const REPORTED_SUSPICION_GRACE_MS = 1500

/** Number of members requested to probe on this instance's behalf. */
export const INDIRECT_PROBES = 3

/** Delay of a tick that shows that this instance itself was paused. */
export const PAUSE_THRESHOLD_MS = 400

/** Delay beyond which a tick counts as late. */
export const LATE_TICK_THRESHOLD_MS = 100

/** Upper bound of the counter of late ticks, by which a slow instance lengthens its suspicion timeout. */
export const MAX_LATENESS = 4

/** Period in which each instance probes one dead member, so that the views recover after a network partition. */
export const DEAD_PROBE_PERIOD_MS = 2000

/** How long a dead member is kept in the table; a member that is still listed is kept longer. */
export const DEAD_RETENTION_MS = 300000

/** Highest number of updates in one message, without repair updates. */
export const MAX_UPDATES_PER_MESSAGE = 6

/** Repair updates added to a message to a peer whose view differs. */
export const REPAIR_UPDATES = 3

/** Number of recently changed members that are remembered for repair updates. */
export const RECENT_MEMBERS = 32

/** Time for which fresh updates are collected before they are sent to a few members. */
export const GOSSIP_DELAY_MS = 50

/** Number of members that fresh updates are sent to without waiting for the next probe. */
export const GOSSIP_FANOUT = 3

/** Number of messages in which an update is fresh: two gossip rounds, since one round misses about a twentieth of the members. */
export const FRESH_MESSAGES = 6

/** Number of messages in which an instance sends an update, per decimal digit of the number of members. */
export const RETRANSMITS_PER_DIGIT = 4

export function retransmitLimit (members: number): number {
  return RETRANSMITS_PER_DIGIT * Math.ceil(Math.log10(members + 2))
}
