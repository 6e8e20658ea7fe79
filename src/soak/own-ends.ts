import type { ChildProcess } from 'node:child_process'

/** Notes which processes end by themselves. */
export class OwnEnds {
  readonly #requested = new WeakSet<ChildProcess>()
  readonly violations: string[] = []

  /** What the process does from now on is not its own end. */
  expectEnd (child: ChildProcess): void {
    this.#requested.add(child)
  }

  watch (child: ChildProcess, name: string): void {
    child.once('exit', (code, signal) => {
      if (!this.#requested.has(child)) this.violations.push(`${name}: its process ended by itself (code ${code}, signal ${signal})`)
    })
  }
}
