import { connect, createServer } from 'node:net'

/** A loopback proxy. Its open connections can be silenced for good while new ones work, or reset. */
export class Link {
  #connections = new Set()
  /** Called with the first bytes of each chunk that passes to the server. */
  onRequest = () => {}

  constructor ({ host, port }) {
    this.server = createServer((near) => {
      const far = connect({ host, port })
      const connection = { near, far, silent: false }
      this.#connections.add(connection)
      const pass = (from, to, seen) => {
        from.on('data', (chunk) => {
          if (connection.silent) return
          seen(chunk)
          to.write(chunk)
        })
        from.on('end', () => { if (!connection.silent) to.end() })
        from.on('error', () => { if (!connection.silent) to.destroy() })
        from.on('close', () => {
          if (!connection.silent) to.destroy()
          if (near.destroyed && far.destroyed) this.#connections.delete(connection)
        })
      }
      pass(near, far, (chunk) => this.onRequest(chunk))
      pass(far, near, () => {})
    })
  }

  /** From now on, nothing passes on the open connections, and neither side learns of it. Returns their number. */
  silence () {
    for (const connection of this.#connections) connection.silent = true
    return this.#connections.size
  }

  close () {
    this.server.close()
    for (const { near, far } of this.#connections) {
      near.destroy()
      far.destroy()
    }
  }
}
