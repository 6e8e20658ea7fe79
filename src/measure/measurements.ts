import { bundleSpread } from './bundle-spread.js'
import { decision } from './decision.js'
import { limits } from './limits.js'
import { keyRecording } from './key-recording.js'
import { load } from './load.js'
import type { Measurement } from './measurement.js'
import { membership } from './membership.js'
import { overhead } from './overhead.js'
import { stepCost } from './step-cost.js'
import { weights } from './weights.js'

/** All measurements, in the order of the list. */
export const measurements: Measurement[] = [
  stepCost,
  load,
  decision,
  weights,
  limits,
  membership,
  keyRecording,
  bundleSpread,
  overhead
]
