export enum DrainEventKind {
  DrainRequested = 'drain-asked',
  DrainTick = 'drain-tick'
}

/** Shutdown was requested, by SIGTERM or by the operator. */
export interface DrainRequested {
  kind: DrainEventKind.DrainRequested
}

/** Time to check whether the drain has finished. */
export interface DrainTick {
  kind: DrainEventKind.DrainTick
}

export type DrainEvent = DrainRequested | DrainTick
