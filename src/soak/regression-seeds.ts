/** A seed that failed once. */
interface RegressionSeed {
  seed: number
  /** Time of faults that it was played with, in seconds. */
  seconds: number
  cause: string
}

/** Seeds that failed once, played again by `--regressions`. */
export const regressionSeeds: RegressionSeed[] = [
  { seed: 7, seconds: 10, cause: 'the check: each configuration dropped the route that the one before had added, and two came within the time allowed' }
]
