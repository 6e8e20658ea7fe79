export enum DrainActionKind {
  Exit = 'exit'
}

/** Ends the process: no work is left, or the time limit of the drain has passed. */
export interface Exit {
  kind: DrainActionKind.Exit
}

export type DrainAction = Exit
