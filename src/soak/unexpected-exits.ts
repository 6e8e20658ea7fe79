import type { ChildProcess } from 'node:child_process'

/** Records processes that exit although no fault or stop has ended them. */
export class UnexpectedExits {
  readonly #requested = new WeakSet<ChildProcess>()
  readonly violations: string[] = []

  /** Call it before the process is stopped or killed. */
  expectExit (child: ChildProcess): void {
    this.#requested.add(child)
  }

  watch (child: ChildProcess, name: string): void {
    child.once('exit', (code, signal) => {
      if (!this.#requested.has(child)) this.violations.push(`${name}: its process ended by itself (code ${code}, signal ${signal})`)
    })
  }
}
