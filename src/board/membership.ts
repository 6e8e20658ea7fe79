import type { MemberUpdate } from '../members/member-event.js'

/** A probe of this instance that has not been answered yet. */
export interface PendingProbe {
  subject: string
  sentMs: number
  /** The requesting instance and its probe number if the probe was sent on behalf of another instance, else null. */
  relay: { to: string, probe: number } | null
  /** True if the member was suspected already: a missing answer then has no effect. */
  repeated: boolean
}

/** A suspicion that a member has failed. The member is declared dead at the deadline unless the suspicion is refuted. */
export interface Suspicion {
  deadlineMs: number
  /** True if this instance's own probe failed; false if another instance reported the suspicion or the member has sent a message since. */
  own: boolean
  /** True once the deadline has been extended, which lets the instances whose own probes failed decide first. */
  putOff: boolean
}

/** An update that is still to be disseminated. */
export interface QueuedUpdate {
  update: MemberUpdate
  /** Number of messages in which the update was sent. */
  sent: number
  /** True while the update is also sent without waiting for the next probe: for its first few messages. */
  fresh: boolean
}

/** State of the failure detector and of gossip, besides the members themselves. */
export interface Membership {
  /** Raised to refute a claim about this instance, after a pause of its process, and when it begins to leave. */
  refutation: number
  leavingAnnounced: boolean
  /** True once a later incarnation of the same id has been seen. */
  replaced: boolean
  /** Members still to be probed in this round, the next one last. */
  round: string[]
  /** Members that were added or came back to life since the last probe; they are inserted into the round at random positions. */
  joined: string[]
  /** Number of the probe that was registered last. */
  lastProbe: number
  /** Pending probes by probe number. */
  pending: Map<number, PendingProbe>
  suspicions: Map<string, Suspicion>
  updates: Map<string, QueuedUpdate>
  gossipScheduled: boolean
  /** Members whose updates were queued last, newest at the end; candidates for the updates sent to a peer whose view differs. */
  recent: string[]
  /** Cached digest of the view; null after a change. */
  digest: number | null
  lastTickMs: number | null
  /** Raised by each late tick and lowered by each timely one; lengthens the suspicion timeout of a slow instance. */
  lateness: number
  lastDeadProbeMs: number
  /** Instances in the last instance list that was not empty, with whether it showed them as leaving. */
  listed: Map<string, boolean>
}

export function createMembership (): Membership {
  return {
    refutation: 0,
    leavingAnnounced: false,
    replaced: false,
    round: [],
    joined: [],
    lastProbe: 0,
    pending: new Map(),
    suspicions: new Map(),
    updates: new Map(),
    gossipScheduled: false,
    recent: [],
    digest: null,
    lastTickMs: null,
    lateness: 0,
    lastDeadProbeMs: 0,
    listed: new Map()
  }
}
