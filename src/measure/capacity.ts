import xxhash from 'xxhash-wasm'
import { createArrivals, type Workload } from './workload.js'

const { h32 } = await xxhash()

/** Requests a second that each part of the fleet can carry; the smallest is the capacity. */
export interface Capacity {
  perSecond: number
  prefillPerSecond: number
  decodePerSecond: number
  linkPerSecond: number
}

const SAMPLE_MS = 10000

const SAMPLE_PER_SECOND = 500

/**
 * Capacity from the rates of the model, with the means of a sample of the workload. Prefill: runners times rate over
 * the mean of uncached tokens, every shared prefix being cached. Decode: requests that fit into memory at once over
 * the time each holds it, which is its transfer and its tokens at the step time of a full batch. Link: transfers one
 * after another into each decode runner.
 */
export function capacityOf (workload: Workload): Capacity {
  const { engine, prefillRunners, decodeRunners } = workload
  const sample = createArrivals(workload, { seed: 1, perSecond: SAMPLE_PER_SECOND, fromMs: 0, forMs: SAMPLE_MS })
  const mean = (value: (arrival: typeof sample[number]) => number): number => sample.reduce((sum, arrival) => sum + value(arrival), 0) / sample.length
  const uncached = mean(({ promptTokens, pieces }) => promptTokens - pieces.filter((piece) => piece.startsWith('prefix-')).length * engine.pieceTokens)
  const pieces = mean(({ promptTokens, maxTokens }) => Math.ceil((promptTokens + maxTokens) / engine.pieceTokens))
  const transferMs = mean(({ promptTokens }) => promptTokens) * engine.kvBytesPerToken / engine.linkBytesPerSecond * 1000
  const batch = engine.totalPieces / pieces
  const holdMs = transferMs + mean(({ maxTokens }) => maxTokens) * (engine.tokenMs + engine.tokenMsPerStream * (batch - 1))
  const prefillPerSecond = prefillRunners * engine.prefillTokensPerSecond / uncached
  const decodePerSecond = decodeRunners * batch / holdMs * 1000
  const linkPerSecond = decodeRunners * 1000 / transferMs
  return { perSecond: Math.min(prefillPerSecond, decodePerSecond, linkPerSecond), prefillPerSecond, decodePerSecond, linkPerSecond }
}

/** A seed for one part of a measurement. Generators of neighbouring seeds begin alike, so that the parts are hashed. */
export function derivedSeed (seed: number, part: number): number {
  return h32(`${seed}/${part}`)
}
