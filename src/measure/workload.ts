import { deployments } from '../demo/deployment.js'
import type { EngineModelOptions } from '../model/engine-model.js'
import { seededRandom } from '../runtime/random.js'

/** One deployment as the load measurements run it. */
export interface Workload {
  name: string
  deployment: ReturnType<typeof deployments>[number]
  engine: Pick<EngineModelOptions, 'cachePieces' | 'evictionMs' | 'kvBytesPerToken' | 'linkBytesPerSecond' | 'pieceTokens' | 'prefillTokensPerSecond' | 'tokenMs' | 'tokenMsPerStream' | 'totalPieces'>
  prefillRunners: number
  decodeRunners: number
  outputTokens: { from: number, to: number }
  /** Share of the prompts that begin with one of the shared prefixes. */
  sharedShare: number
  sharedPrefixes: number
  /** Whole pieces of a shared prefix; a shorter prompt shares only its own pieces. */
  sharedPieces: number
}

export interface Arrival {
  atMs: number
  subject: string
  promptTokens: number
  maxTokens: number
  pieces: string[]
  organisation: string
  /** Number between 0 and 1 that chooses the entry instance. */
  entryChoice: number
}

/**
 * The two deployments of the demonstration. The answers are longer than there, and the decode steps slower, so that
 * decode memory of about twenty requests is nearly full at capacity: with the demonstration's 24 tokens at 24 ms the
 * prefill runners saturate while decode memory is two thirds empty, and reservations would have nothing to decide.
 */
export function workloads (): Workload[] {
  return deployments(0).map((deployment) => {
    const model = deployment.bundle.models[0]
    if (model === undefined) throw new Error('a deployment without a model')
    const { pieceTokens, kvBytesPerToken, linkBytesPerSecond, evictionMs, prefillTokensPerSecond } = model
    const meanPrompt = (deployment.promptTokens.from + deployment.promptTokens.to) / 2
    const totalPieces = Math.round(MEAN_REQUESTS_IN_MEMORY * (Math.ceil(meanPrompt / pieceTokens) + 1))
    return {
      name: deployment.name,
      deployment,
      engine: { pieceTokens, kvBytesPerToken, linkBytesPerSecond, evictionMs, prefillTokensPerSecond, totalPieces, cachePieces: 200, tokenMs: 45, tokenMsPerStream: 0.8 },
      prefillRunners: deployment.modelRunners / 2,
      decodeRunners: deployment.modelRunners / 2,
      outputTokens: { from: 32, to: 96 },
      sharedShare: 0.4,
      sharedPrefixes: 20,
      sharedPieces: 2
    }
  })
}

const MEAN_REQUESTS_IN_MEMORY = 20

/** Open-loop Poisson arrivals; the same seed gives the same requests in the same order at every rate. */
export function createArrivals (workload: Workload, options: { seed: number, perSecond: number, fromMs: number, forMs: number }): Arrival[] {
  const random = seededRandom(options.seed)
  const arrivals: Arrival[] = []
  let atMs = options.fromMs
  for (;;) {
    atMs += -Math.log(1 - random()) / options.perSecond * 1000
    const sketch = createRequest(workload, random, arrivals.length)
    if (atMs >= options.fromMs + options.forMs) return arrivals
    arrivals.push({ atMs, ...sketch })
  }
}

function createRequest (workload: Workload, random: () => number, index: number): Omit<Arrival, 'atMs'> {
  const { deployment, engine, outputTokens, sharedShare, sharedPrefixes, sharedPieces } = workload
  const subject = `request-${index}`
  const promptTokens = between(deployment.promptTokens, random())
  const maxTokens = between(outputTokens, random())
  const prefix = random() < sharedShare ? Math.floor(random() * sharedPrefixes) : null
  const pieces = Array.from({ length: Math.floor(promptTokens / engine.pieceTokens) }, (_, piece) =>
    prefix !== null && piece < sharedPieces ? `prefix-${prefix}-${piece}` : `${subject}-${piece}`)
  return { subject, promptTokens, maxTokens, pieces, organisation: deployment.organisation, entryChoice: random() }
}

function between ({ from, to }: { from: number, to: number }, choice: number): number {
  return Math.round(from + choice * (to - from))
}
