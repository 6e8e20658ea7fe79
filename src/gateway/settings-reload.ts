import type { GatewaySettings } from './gateway-settings.js'

/** Settings that take effect while an instance runs; changes of the others wait for its next start. */
const LIVE_SETTINGS = ['seeds', 'orderTurnMs', 'graceS', 'addressLifetimeS', 'repeats'] as const

export interface SettingsChange {
  /** Names of the settings that have changed and are in force now. */
  applied: string[]
  /** Names of those that have changed and wait for the next start. */
  waiting: string[]
}

/** Puts changed settings in force in the object that the instance reads them from. */
export function applySettings (current: GatewaySettings, next: GatewaySettings): SettingsChange {
  const names = Object.keys(next) as Array<keyof GatewaySettings>
  const changed = names.filter((name) => JSON.stringify(current[name]) !== JSON.stringify(next[name]))
  const live = new Set<string>(LIVE_SETTINGS)
  for (const name of LIVE_SETTINGS) Object.assign(current, { [name]: next[name] })
  return { applied: changed.filter((name) => live.has(name)), waiting: changed.filter((name) => !live.has(name)) }
}
