import type { CallOutcome } from '../calls/call-event.js'

/** Stages of one attempt of a caller. */
export enum CallStage {
  /** A claim of the caller's own key is being written to the key-value service. */
  Claiming = 'claiming',
  /** Forwarded to the instance that holds the key. */
  Forwarded = 'forwarded',
  /** Sent to a backend server. */
  Dispatched = 'dispatched',
  /** Waits for the delay before the next try. */
  BackingOff = 'backing-off',
  /** Waits for the answer to an earlier attempt with the same key. */
  Joined = 'joined'
}

/** One attempt of a caller to make a call to a plain service. */
export interface CallAttempt {
  call: string
  organisation: string
  route: string
  key: string | null
  bodyHash: string
  forwardedBy: string | null
  stage: CallStage
  /** Whether the caller's connection still waits for an answer. A dispatched attempt is kept after its caller has disconnected, so that its outcome is recorded. */
  open: boolean
  /** Whether it counts towards the concurrency limit of its organisation. */
  counted: boolean
  /** The only incarnation that may answer this attempt if it was forwarded; null if it was not. */
  holder: { instance: string, incarnation: string } | null
  server: string | null
  /** Whether any byte of the call may have reached a backend server in a try that has ended. */
  sent: boolean
  /** Number of tries, each of which sends the call to one backend server. */
  attempts: number
  /** Backend servers that failed this attempt. */
  excluded: string[]
  arrivedMs: number
  deadlineMs: number
}

/** Record of a key whose call this incarnation may dispatch. */
export interface KeyRecord {
  organisation: string
  key: string
  bodyHash: string
  outcome: CallOutcome
  /** The attempt that dispatches the call. */
  dispatcher: string
  /** The newest attempt with the key: the only one that may get the answer. */
  newest: string
  usedMs: number
  /** Identifies the current claim of a caller's own key in the key-value service; null for a system-issued key. */
  nonce: string | null
  /** Nonces of earlier claims that this incarnation will never dispatch; their writes to the key-value service may still take effect. */
  abandoned: string[]
  /** The attempt under which the answer is stored; null if no answer is stored. */
  answer: string | null
}

/** Highest key number issued in the period that began at `issuedMs`. */
export interface IssueMark {
  number: number
  issuedMs: number
}

/** Keys issued by this incarnation, and records of all keys whose calls it may dispatch. */
export interface IssuedKeys {
  lastNumber: number
  /** Keys up to this number have expired. */
  expiredNumber: number
  marks: IssueMark[]
  /** Signs issued keys, so that forged keys and keys of another organisation are recognised without a list of issued keys. */
  secret: string
  /** Records by record id, which is derived from the organisation and the key. */
  records: Map<string, KeyRecord>
  /** Size of each stored answer in bytes, by record id, oldest first. */
  answers: Map<string, number>
  answerBytes: number
}

/** State of one organisation's limits for calls on this instance. */
export interface CallUsage {
  inFlight: number
  /** Tokens in the bucket of the rate limit at `refilledMs`; each call takes one. */
  tokens: number
  refilledMs: number
}
