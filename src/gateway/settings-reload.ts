import type { GatewaySettings } from './gateway-settings.js'

/** Settings that can change while an instance runs; changes to others take effect at its next start. */
const LIVE_SETTINGS = ['seeds', 'orderTurnMs', 'drainMs', 'graceS', 'addressLifetimeS', 'crossing', 'repeats'] as const

export interface SettingsChange {
  /** Names of the settings that have changed and have taken effect. */
  applied: string[]
  /** Names of the changed settings that take effect only at the next start. */
  deferred: string[]
}

/** Copies the settings that can change at run time into `current`, the object that the instance reads its settings from. */
export function applySettings (current: GatewaySettings, next: GatewaySettings): SettingsChange {
  const names = Object.keys(next) as Array<keyof GatewaySettings>
  const changed = names.filter((name) => JSON.stringify(current[name]) !== JSON.stringify(next[name]))
  const live = new Set<string>(LIVE_SETTINGS)
  for (const name of LIVE_SETTINGS) Object.assign(current, { [name]: next[name] })
  return { applied: changed.filter((name) => live.has(name)), deferred: changed.filter((name) => !live.has(name)) }
}
