/** A mistake in a scenario file. */
export class ScenarioFault extends Error {
  constructor (line: number, found: string, remedy: string) {
    super(`line ${line}: ${found}. ${remedy}`)
  }
}
