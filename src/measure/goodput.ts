import type { RequestClass } from '../bundles/bundle.js'
import { type History, type HistoryRecord, RecordKind } from '../model/history.js'

/** What became of the requests of one run. */
export interface RunResult {
  sent: number
  answered: number
  good: number
  refused: number
  /** Requests that ended without an answer or a refusal. */
  lost: number
  computedTokens: number
  wastedTokens: number
  /** The part of the wasted tokens whose cached pieces served a later prefill of the same request. */
  reusedTokens: number
  refusals: Record<string, number>
}

/**
 * Counts answers within both targets of the class. A prompt token counts as wasted when the prefill that computed it
 * is not the last one of an answered request, so that results lost with a dead entry instance count too.
 */
export function resultOf (history: History, target: Pick<RequestClass, 'firstTokenMs' | 'perTokenMs'>): RunResult {
  const sentAt = firstBySubject(history.of(RecordKind.RequestSent))
  const attempts = new Map(history.of(RecordKind.RequestSent).map((record) => [record.attempt, record]))
  const answers = firstBySubject(history.of(RecordKind.RequestAnswered))
  const refused = firstBySubject(history.of(RecordKind.RequestRefused))
  let good = 0
  for (const [subject, answer] of answers) {
    const sent = sentAt.get(subject)
    const attempt = attempts.get(answer.attempt)
    if (sent === undefined || attempt === undefined) continue
    const firstTokenAt = attempt.atMs + (answer.firstTokenMs ?? Infinity)
    const gaps = Math.max(1, (answer.tokens?.length ?? 0) - 1)
    if (firstTokenAt - sent.atMs <= target.firstTokenMs && (answer.atMs - firstTokenAt) / gaps <= target.perTokenMs) good += 1
  }
  const refusals: Record<string, number> = {}
  for (const [subject, { refusal }] of refused) {
    if (!answers.has(subject)) refusals[refusal ?? ''] = (refusals[refusal ?? ''] ?? 0) + 1
  }
  const refusedCount = Object.values(refusals).reduce((sum, count) => sum + count, 0)
  const lost = sentAt.size - answers.size - refusedCount
  return { sent: sentAt.size, answered: answers.size, good, refused: refusedCount, lost, refusals, ...tokensOf(history, answers) }
}

function tokensOf (history: History, answers: Map<string, HistoryRecord>): Pick<RunResult, 'computedTokens' | 'reusedTokens' | 'wastedTokens'> {
  let computedTokens = 0
  const last = new Map<string, number>()
  const largest = new Map<string, number>()
  for (const { subject, count } of history.of(RecordKind.PrefillComputed)) {
    const tokens = count ?? 0
    computedTokens += tokens
    if (!answers.has(subject ?? '')) continue
    last.set(subject ?? '', tokens)
    largest.set(subject ?? '', Math.max(tokens, largest.get(subject ?? '') ?? 0))
  }
  const sum = (counts: Map<string, number>): number => [...counts.values()].reduce((total, count) => total + count, 0)
  return { computedTokens, wastedTokens: computedTokens - sum(last), reusedTokens: sum(largest) - sum(last) }
}

function firstBySubject (records: HistoryRecord[]): Map<string, HistoryRecord> {
  const found = new Map<string, HistoryRecord>()
  for (const record of records) {
    if (record.subject !== undefined && !found.has(record.subject)) found.set(record.subject, record)
  }
  return found
}

/** Share of the computed prompt tokens that were computed for nothing, cached pieces that served a repetition left out. */
export function discardedShare ({ computedTokens, wastedTokens, reusedTokens }: RunResult): number {
  return computedTokens === 0 ? 0 : (wastedTokens - reusedTokens) / computedTokens
}

/** Share of the computed prompt tokens that were wasted. */
export function wastedShare ({ computedTokens, wastedTokens }: RunResult): number {
  return computedTokens === 0 ? 0 : wastedTokens / computedTokens
}
