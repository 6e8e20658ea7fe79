import type { QueuedRequest } from '../board/admission-table.js'
import type { Board } from '../board/board.js'

/** Maximum number of waiting requests; more could not be served within any deadline. */
const MAX_QUEUED = 256

/** Maximum sum of the prompt and answer tokens of all waiting requests; bounds the memory in which their prompts are held. */
const MAX_QUEUED_TOKENS = 2000000

/** Whether the queue has room for a request with the given number of prompt and answer tokens. */
export function hasRoom ({ admission }: Board, tokens: number): boolean {
  return admission.queue.length < MAX_QUEUED && admission.queuedTokens + tokens <= MAX_QUEUED_TOKENS
}

/** Creates the queue entry of a new request. Its tag is its virtual finish time in fair queueing: tokens weighted by the organisation's share. */
export function createQueueEntry ({ admission, bundle }: Board, entry: Omit<QueuedRequest, 'deferred' | 'tag'>): QueuedRequest {
  const usage = admission.organisations.get(entry.organisation)
  const share = bundle?.index.organisations.get(entry.organisation)?.share ?? 1
  const tag = Math.max(admission.virtualTime, usage?.lastTag ?? 0) + entry.tokens / share
  return { ...entry, deferred: false, tag }
}

/** Number of waiting requests that are served before an entry. */
export function countAhead ({ admission }: Board, entry: QueuedRequest): number {
  return admission.queue.filter((other) => comesBefore(other, entry)).length
}

export function enqueue ({ admission }: Board, entry: QueuedRequest): void {
  const usage = admission.organisations.get(entry.organisation)
  if (usage !== undefined) usage.lastTag = entry.tag
  admission.queue.push(entry)
  admission.queuedTokens += entry.tokens
}

/** The next request to serve: requests that are not deferred first, then by the class's priority, then by virtual finish time. */
export function nextQueued ({ admission }: Board): QueuedRequest | undefined {
  let best: QueuedRequest | undefined
  for (const entry of admission.queue) {
    if (best === undefined || comesBefore(entry, best)) best = entry
  }
  return best
}

export function dequeue ({ admission }: Board, entry: QueuedRequest): void {
  const index = admission.queue.indexOf(entry)
  if (index < 0) return
  admission.queue.splice(index, 1)
  admission.queuedTokens -= entry.tokens
  admission.virtualTime = Math.max(admission.virtualTime, entry.tag - entry.tokens)
}

function comesBefore (a: QueuedRequest, b: QueuedRequest): boolean {
  if (a.deferred !== b.deferred) return b.deferred
  if (a.priority !== b.priority) return a.priority > b.priority
  return a.tag < b.tag
}
