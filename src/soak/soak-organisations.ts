/** Organisations whose keys stay valid in the soak; callers are spread over them. */
const ORGANISATIONS = ['soak-a', 'soak-b']

/** Organisation that gets a new key with each configuration. */
const ROTATING = 'soak-rotating'

/** Number of the newest keys that the rotating organisation keeps, so that a key still holds when further configurations follow at once. */
const KEPT_KEYS = 8

export interface SoakOrganisation {
  name: string
  keys: string[]
}

/** Organisations of one version of the soak's configuration. */
export function organisationsOf (version: number): SoakOrganisation[] {
  const rotatingKeys = Array.from({ length: KEPT_KEYS }, (_, age) => rotatingKey(version - age))
  return [...ORGANISATIONS.map((name) => ({ name, keys: [`key-of-${name}`] })), { name: ROTATING, keys: rotatingKeys }]
}

/** The key that a version has added. */
export function rotatingKey (version: number): string {
  return `key-${version}-of-${ROTATING}`
}

/** The key that a version has removed. */
export function removedKey (version: number): string {
  return rotatingKey(version - KEPT_KEYS)
}

/** Key of a caller, by its number. */
export function callerKey (index: number): string {
  return `key-of-${organisationOfCaller(index)}`
}

function organisationOfCaller (index: number): string {
  return ORGANISATIONS[index % ORGANISATIONS.length] ?? ''
}

/** The organisation that servers have to be told for a request; undefined if its id is not that of a caller. */
export function organisationOfRequest (id: string): string | undefined {
  const number = /^s\d+[cw](\d+)-/.exec(id)?.[1]
  return number === undefined ? undefined : organisationOfCaller(Number(number))
}
