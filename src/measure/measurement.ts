export type Row = Record<string, boolean | number | string>

export interface Outcome {
  /** Printed as a table. */
  rows: Row[]
  /** Printed as the last line, with `ok`. */
  figures: Record<string, unknown>
  /** Whether every stated bound was met. */
  ok: boolean
}

/** One named measurement. The same seed gives the same arrivals and faults. */
export interface Measurement {
  name: string
  summary: string
  run: (options: { seed: number }) => Outcome | Promise<Outcome>
}
