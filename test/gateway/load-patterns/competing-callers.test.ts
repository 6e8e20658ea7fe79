import { describe, expect, test } from '@jest/globals'
import { LoadModel, type ModelFleet, type ModelLoad, type ModelSource, type SourceResult } from './load-model.js'

/** Serves about 28 requests a second. */
const fleet: ModelFleet = { prefillRunners: 4, decodeRunners: 10, memoryTokens: 65_000, slots: 64, roleChangeMs: 6000, promptMs: 1, promptLatencyMs: 90, promptTokensPerMs: 55, tokenMs: 4.55, tokenMsPerRun: 0.18 }

/** Only the callers of the burst count: over a longer time, a kind that is asked for mostly in calm is served more often. */
const counted = { fromS: 20, untilS: 30 }

const isBurst = (second: number): boolean => second >= counted.fromS && second < counted.untilS

function organisation (name: string, usualPerS: number, burstFactor = 1, options: Partial<ModelSource> = {}): ModelSource {
  return { name, organisation: name, priority: 0, requestsPerS: (second) => usualPerS * (isBurst(second) ? burstFactor : 1), ...options }
}

const calmOrganisations = (count: number): ModelSource[] => Array.from({ length: count }, (_, index) => organisation(`calm${index}`, 1))

async function play (sources: ModelSource[], seed: number, options: Partial<ModelLoad> = {}): Promise<Record<string, SourceResult>> {
  const { bySource } = await new LoadModel({ fleet, load: { seconds: 45, requestsPerS: () => 0, promptTokens: 5200, outputTokens: 590, sources, counted, ...options }, seed, mayOrder: false }).run()
  return bySource
}

function sum (results: Record<string, SourceResult>, isCounted: (name: string) => boolean): SourceResult {
  const total = { asked: 0, onTime: 0, late: 0, refused: 0 }
  for (const [name, result] of Object.entries(results)) if (isCounted(name)) for (const key of ['asked', 'onTime', 'late', 'refused'] as const) total[key] += result[key]
  return total
}

const onTimeShare = ({ asked, onTime }: SourceResult): number => onTime / asked
const servedShare = ({ asked, onTime, late }: SourceResult): number => (onTime + late) / asked
const isCalm = (name: string): boolean => name.startsWith('calm')

/** Half of the decode runners are lost as the burst begins. */
const halfLost = { loss: { fromS: 21, untilS: 28, share: 0.5 } }
const situations: Array<[string, Partial<ModelLoad>]> = [['', {}], [' with half of the runners lost', halfLost]]

describe.each([1, 2])('callers who compete for too little room, seed %i', (seed) => {
  // Guards against calm organisations that wait behind the surplus of others.
  test.each(situations)('one organisation at seven times beside 15 calm ones%s', async (_name, options) => {
    const results = await play([...calmOrganisations(15), organisation('hot', 4, 7)], seed, options)
    const calm = sum(results, isCalm)
    expect(onTimeShare(calm)).toBeGreaterThan(options.loss === undefined ? 0.95 : 0.7)
    expect(onTimeShare(calm)).toBeGreaterThan(onTimeShare(sum(results, (name) => name === 'hot')))
  })

  test('three organisations at seven times at once', async () => {
    const results = await play([...calmOrganisations(10), ...['hot1', 'hot2', 'hot3'].map((name) => organisation(name, 2, 7))], seed)
    expect(onTimeShare(sum(results, isCalm))).toBeGreaterThan(0.95)
  })

  // Guards against a share so small that a few requests use it up.
  test.each(situations)('a small organisation among large ones%s', async (_name, options) => {
    const results = await play([...['large1', 'large2', 'large3'].map((name) => organisation(name, 6, 3)), organisation('small', 0.5)], seed, options)
    expect(servedShare(sum(results, (name) => name === 'small'))).toBeGreaterThanOrEqual(servedShare(sum(results, (name) => name !== 'small')))
  })

  // Guards against an urgent kind that waits behind a less urgent one, and against a less urgent one that gets nothing.
  test.each(situations)('an urgent burst over steady less urgent work%s', async (_name, options) => {
    const results = await play([organisation('urgent', 8, 5), organisation('routine', 8, 1, { priority: 2, objectiveMs: 2000 })], seed, options)
    const [urgent, routine, all] = [sum(results, (name) => name === 'urgent'), sum(results, (name) => name === 'routine'), sum(results, () => true)]
    expect(servedShare(urgent)).toBeGreaterThanOrEqual(servedShare(routine) - 0.05)
    expect(servedShare(routine)).toBeGreaterThan(0.25 * servedShare(all))
  })

  test.each(situations)('a burst of less urgent work over steady urgent work%s', async (_name, options) => {
    const results = await play([organisation('urgent', 10), organisation('routine', 4, 8, { priority: 2, objectiveMs: 2000 })], seed, options)
    const urgent = sum(results, (name) => name === 'urgent')
    expect(onTimeShare(urgent)).toBeGreaterThan(options.loss === undefined ? 0.9 : 0.6)
    expect(servedShare(urgent)).toBeGreaterThanOrEqual(servedShare(sum(results, (name) => name === 'routine')))
  })

  // Guards against callers that get more, or whose organisation gets a larger share, by asking more often.
  test.each(situations)('callers that return at once, three times%s', async (_name, options) => {
    const patient = ['calm1', 'calm2'].map((name) => organisation(name, 7, 2))
    const results = await play([...patient, organisation('abusive', 6, 2, { abusiveAttempts: 3 })], seed, options)
    expect(onTimeShare(sum(results, isCalm))).toBeGreaterThanOrEqual(onTimeShare(sum(results, (name) => name === 'abusive')) - 0.1)
  })

  // Guards against long prompts that find no room behind short ones.
  test.each(situations)('long prompts against short ones%s', async (_name, options) => {
    const results = await play([organisation('short', 14, 2.5, { promptTokens: 3500 }), organisation('long', 1.5, 2.5, { promptTokens: 14_000 })], seed, options)
    expect(servedShare(sum(results, (name) => name === 'long'))).toBeGreaterThan(0.5 * servedShare(sum(results, () => true)))
  })
})
