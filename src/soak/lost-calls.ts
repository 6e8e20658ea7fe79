import type { CallEnd, CallProgress } from '../standin/platform-call.js'
import type { SoakInstance } from './soak-fleet.js'
import type { SoakLedger } from './soak-ledger.js'

/** A request that no server ran and whose connection closes sooner than this after its last byte has crossed the close, in milliseconds. */
const CROSSING_MS = 200

/** Answers below this size never have to give way when the buffers of an instance are full, in bytes. */
const SMALL_ANSWER_BYTES = 64 * 1024

interface LostCallsOptions {
  ledger: Pick<SoakLedger, 'ends' | 'hasRun' | 'brokenOff'>
  instances: Array<Pick<SoakInstance, 'ip' | 'cuts'>>
  /** Lowest timeout that a route had, in milliseconds. */
  lowestTimeoutMs: number
  /** How many exchanges the instance has ended because its buffers were full. */
  evictions: (ip: string) => number
}

/** The calls whose requests were sent completely and that ended with neither a complete answer nor a refusal, although nothing excuses it. */
export function lostCalls (options: LostCallsOptions): string[] {
  const evictedByIp = new Map<string, number>()
  const lost: string[] = []
  for (const end of options.ledger.ends) {
    const { progress } = end
    if (progress === undefined || progress.sentMs === null || progress.complete) continue
    const ip = end.address.split(':')[0] ?? ''
    if (isExcused(options, { end, progress, ip })) continue
    if (end.status !== null && progress.answerBytes > SMALL_ANSWER_BYTES) {
      const evicted = evictedByIp.get(ip) ?? 0
      evictedByIp.set(ip, evicted + 1)
      if (evicted < options.evictions(ip)) continue
    }
    const state = end.status === null ? 'no answer' : `answer ${end.status} cut`
    lost.push(`${end.id} (${end.kind}): LOST at ${ip}, ${state} ${Math.round(progress.endedMs - progress.sentMs)} ms after its last byte and ${Math.round(progress.endedMs - progress.startedMs)} ms after its start, ${options.ledger.hasRun(end.id) ? 'had run' : 'had not run'}`)
  }
  return lost
}

function isExcused ({ ledger, instances, lowestTimeoutMs }: LostCallsOptions, { end, progress, ip }: { end: CallEnd, progress: CallProgress, ip: string }): boolean {
  const { startedMs, sentMs, endedMs, deadlineMs } = progress
  if (endedMs - startedMs >= Math.min(deadlineMs, lowestTimeoutMs)) return true
  if (ledger.brokenOff.has(end.id)) return true
  if (!ledger.hasRun(end.id) && endedMs - (sentMs ?? endedMs) < CROSSING_MS) return true
  const cuts = instances.find((instance) => instance.ip === ip)?.cuts ?? []
  return cuts.some(({ fromMs, toMs }) => startedMs <= toMs && endedMs >= fromMs)
}
