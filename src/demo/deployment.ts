import { createHash } from 'node:crypto'
import type { Bundle } from '../bundles/bundle.js'

/** What the demonstration runs: one of the users' deployments at its present size. */
export interface Deployment {
  name: string
  region: string
  failureDomains: string[]
  entries: number
  modelService: string
  modelRunners: number
  plainService: string
  plainRunners: number
  orderPath: string
  stockPath: string
  organisation: string
  bundle: Bundle
  firstPort: number
  promptTokens: { from: number, to: number }
  outputTokens: number
}

/** Size of a piece in the demonstration's engines, in tokens. */
const PIECE_TOKENS = 1000

const KV_BYTES_PER_TOKEN = 131072

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

export function organisationKey (organisation: string): string {
  return `demo-key-of-${organisation}`
}

interface DeploymentSketch extends Omit<Deployment, 'bundle'> {
  interactive: boolean
  firstTokenMs: number
  deadlineMs: number
  weights: { wastedPrefill: number, goodput: number }
}

function deployment (sketch: DeploymentSketch): Deployment {
  const { interactive, firstTokenMs, deadlineMs, weights, ...rest } = sketch
  const modelDefaults = {
    version: '1',
    adapters: [],
    pieceTokens: PIECE_TOKENS,
    bytesPerToken: 4,
    kvBytesPerToken: KV_BYTES_PER_TOKEN,
    maxPromptTokens: 65536,
    maxOutputTokens: 256,
    evictionMs: 800,
    prefillTokensPerSecond: 20000,
    linkBytesPerSecond: 12.5e9,
    prefillRunners: rest.modelRunners / 2,
    decodeRunners: rest.modelRunners / 2,
    minimumRunners: 1
  }
  const routeDefaults = { service: rest.plainService, timeoutMs: 2000 }
  return {
    ...rest,
    bundle: {
      models: [{ ...modelDefaults, name: rest.modelService, service: rest.modelService }],
      routes: [
        { ...routeDefaults, name: 'order', path: rest.orderPath, method: 'POST', repeatable: false },
        { ...routeDefaults, name: 'stock', path: rest.stockPath, method: 'GET', repeatable: true }
      ],
      classes: [{ name: 'standard', firstTokenMs, perTokenMs: 77, deadlineMs, interactive, priority: 5 }],
      organisations: [{ id: rest.organisation, keyHashes: [sha256(organisationKey(rest.organisation))], class: 'standard', requestsPerSecond: 1000, concurrency: 1000, share: 1 }],
      weights
    }
  }
}

/** The deployments of the two users, on ports from the given one on. */
export function deployments (firstPort: number): Deployment[] {
  return [bellworks(firstPort), inkwell(firstPort + PORTS_PER_DEPLOYMENT)]
}

/** Ports between the bases of two deployments. */
export const PORTS_PER_DEPLOYMENT = 1000

function bellworks (firstPort: number): Deployment {
  return deployment({
    name: 'grand-baie-bellworks',
    region: 'mu-north',
    failureDomains: ['mu-north-a', 'mu-north-b', 'mu-north-c'],
    entries: 8,
    modelService: 'pattern-llm',
    modelRunners: 6,
    plainService: 'order-desk',
    plainRunners: 3,
    orderPath: '/orders',
    stockPath: '/stock',
    organisation: 'bellworks',
    firstPort,
    promptTokens: { from: 2000, to: 8000 },
    outputTokens: 24,
    interactive: false,
    firstTokenMs: 3000,
    deadlineMs: 15000,
    weights: { wastedPrefill: 4, goodput: 1 }
  })
}

function inkwell (firstPort: number): Deployment {
  return deployment({
    name: 'inkwell-lanka-studio',
    region: 'lk-west',
    failureDomains: ['colombo-a', 'colombo-b', 'negombo'],
    entries: 8,
    modelService: 'script-models',
    modelRunners: 6,
    plainService: 'shop-app',
    plainRunners: 3,
    orderPath: '/print-orders',
    stockPath: '/proofs',
    organisation: 'inkwell',
    firstPort,
    promptTokens: { from: 1000, to: 6000 },
    outputTokens: 24,
    interactive: true,
    firstTokenMs: 1500,
    deadlineMs: 8000,
    weights: { wastedPrefill: 1, goodput: 4 }
  })
}
