import { connect, createServer, type Server, type Socket } from 'node:net'

export enum LinkState {
  Sound = 'sound',
  /** Bytes arrive late. */
  Delayed = 'delayed',
  /** New connections are reset, and open ones were. */
  Reset = 'reset',
  /** Nothing arrives at the far side. */
  CutForward = 'cut-forward',
  /** Nothing comes back. */
  CutBack = 'cut-back',
  /** Nothing arrives on either side. */
  Silent = 'silent'
}

const DELAY_MS = 300

/** Loopback proxy whose connections can be delayed, reset, cut one way or silenced. */
export class FaultyLink {
  readonly server: Server
  readonly #sockets = new Set<Socket>()
  #state = LinkState.Sound

  constructor (options: { host: string, port: number }) {
    this.server = createServer((near) => this.#join(near, connect(options)))
  }

  enter (state: LinkState): void {
    this.#state = state
    if (state !== LinkState.Reset) return
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #join (near: Socket, far: Socket): void {
    if (this.#state === LinkState.Reset) {
      near.resetAndDestroy()
      far.destroy()
      return
    }
    for (const [from, to, cut] of [[near, far, LinkState.CutForward], [far, near, LinkState.CutBack]] as const) {
      this.#sockets.add(from)
      from.on('data', (bytes) => {
        if (this.#state === cut || this.#state === LinkState.Silent) return
        if (this.#state === LinkState.Delayed) setTimeout(() => to.write(bytes), DELAY_MS)
        else to.write(bytes)
      })
      from.on('error', () => to.destroy())
      from.on('close', () => {
        this.#sockets.delete(from)
        to.destroy()
      })
    }
  }
}
