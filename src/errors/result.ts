import tsResults from 'ts-results'

export type { Result } from 'ts-results'

// ts-results is CommonJS: its named exports are reached through the default export only.
export const { Ok, Err } = tsResults
