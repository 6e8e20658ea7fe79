import { connect } from 'node:net'
import { delay } from './fleet.mjs'

/** A caller that sends one order after the other on a kept connection, and counts those that end without an answer. */
export class OrdinaryCaller {
  lost = []
  answered = 0
  #stopped = false
  #socket = null

  constructor ({ fleet, instance, name, deadlineMs = 1000 }) {
    Object.assign(this, { fleet, instance, name, deadlineMs })
  }

  stop () {
    this.#stopped = true
  }

  /** Sends one order after the other on a kept connection, each after the whole answer to the one before. */
  async run () {
    for (let count = 0; !this.#stopped; count += 1) {
      this.#socket ??= this.#connect()
      const id = `${this.name}-${count}`
      this.#socket.write(`POST /order/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${this.deadlineMs}\r\nContent-Length: 2\r\n\r\nok`)
      const answer = await this.#receive(this.#socket)
      if (answer !== '') {
        this.answered += 1
        continue
      }
      this.lost.push({ id, instance: this.instance, atMs: performance.now() })
      this.#socket = null
      await delay(100)
    }
    this.#socket?.destroy()
  }

  #connect () {
    const socket = connect({ host: this.instance.ip, port: this.fleet.ports.callers })
    socket.setEncoding('latin1')
    socket.on('error', () => {})
    return socket
  }

  /** The next answer; empty if the connection ends before any byte of it. */
  #receive (socket) {
    return new Promise((resolve) => {
      let received = ''
      const take = (text) => {
        received += text
        if (/\r\n\r\n[^]+/.test(received)) finish()
      }
      const finish = () => {
        socket.off('data', take)
        socket.off('close', finish)
        resolve(received)
      }
      socket.on('data', take)
      socket.on('close', finish)
    })
  }
}
