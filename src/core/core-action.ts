import type { Event } from './event.js'

export enum CoreActionKind {
  Emit = 'emit',
  Log = 'log',
  Schedule = 'schedule'
}

/** Makes the core handle an internal event before the next external event. */
export interface Emit {
  kind: CoreActionKind.Emit
  event: Event
}

/** Writes one log line and counts it in the metric of logged events under its name. */
export interface Log {
  kind: CoreActionKind.Log
  name: string
  fields: Record<string, string | number | boolean>
}

/** Delivers an event after a delay. The delivery can't be cancelled, so the event's handler has to check whether the event still applies. */
export interface Schedule {
  kind: CoreActionKind.Schedule
  afterMs: number
  event: Event
}

export type CoreAction = Emit | Log | Schedule
