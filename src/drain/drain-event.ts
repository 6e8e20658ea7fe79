export enum DrainEventKind {
  DrainAsked = 'drain-asked',
  DrainTick = 'drain-tick'
}

/** Shutdown was requested, by SIGTERM or by the operator. */
export interface DrainAsked {
  kind: DrainEventKind.DrainAsked
}

/** Time to check whether the drain has finished. */
export interface DrainTick {
  kind: DrainEventKind.DrainTick
}

export type DrainEvent = DrainAsked | DrainTick
