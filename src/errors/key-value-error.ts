/** Whether a failed call may have changed anything. */
export enum Effect {
  None = 'none',
  Unknown = 'unknown'
}

/** A failed call to the key-value service. */
export interface KeyValueError {
  effect: Effect
  detail: string
}
