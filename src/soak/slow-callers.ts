import { Agent, type IncomingMessage, request } from 'node:http'
import { connect, type Socket } from 'node:net'
import { type CallEnd, CallKind } from '../standin/platform-call.js'
import { plainAnswer } from '../standin/platform-runner-standin.js'

/** Largest body of a request in the configurations of the soak, in bytes. */
export const UPLOAD_LIMIT_BYTES = 1024 * 1024

/** Just below the largest body of a plain answer that is passed on, in bytes. */
const LARGEST_ANSWER_BYTES = 8 * 1024 * 1024 - 1024

/** Longest time that a slow caller waits, in milliseconds. */
const DEADLINE_MS = 4000

/** Number of parts of a slow upload, and of the pauses of a slow reader. */
const PARTS = 8

enum SlowCall {
  Upload = 'upload',
  LargestUpload = 'largest-upload',
  Read = 'read',
  LargestRead = 'largest-read'
}

interface CallShape {
  uploadBytes: number
  answerBytes: number
  /** Longest time for the upload and for reading the answer, in milliseconds. */
  uploadMs: number
  readMs: number
}

const shapes: Record<SlowCall, CallShape> = {
  [SlowCall.Upload]: { uploadBytes: 20_000, answerBytes: 0, uploadMs: 2000, readMs: 0 },
  [SlowCall.LargestUpload]: { uploadBytes: UPLOAD_LIMIT_BYTES, answerBytes: 0, uploadMs: 1500, readMs: 0 },
  [SlowCall.Read]: { uploadBytes: 0, answerBytes: 60_000, uploadMs: 0, readMs: 1500 },
  [SlowCall.LargestRead]: { uploadBytes: 0, answerBytes: LARGEST_ANSWER_BYTES, uploadMs: 0, readMs: 1500 }
}

interface SlowCallersOptions {
  name: string
  key: string
  /** Addresses of the listeners for callers. */
  addresses: string[]
  onEnd: (end: CallEnd) => void
  random: () => number
  /** Longest time for which a connection is idle between two calls, in milliseconds. */
  idleMs: number
}

/** A caller that uploads and reads slowly on connections that it keeps. Besides, it holds one connection on which it never reads its answer. */
export class SlowCaller {
  readonly #options: SlowCallersOptions
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  #unread: Socket | undefined
  #stopped = false
  #calls = 0

  constructor (options: SlowCallersOptions) {
    this.#options = options
  }

  stop (): void {
    this.#stopped = true
  }

  async run (): Promise<void> {
    const { random, idleMs, onEnd } = this.#options
    while (!this.#stopped) {
      if (this.#unread === undefined || this.#unread.destroyed) this.#unread = this.#leaveUnread()
      onEnd(await this.#call(this.#pick(Object.values(SlowCall))))
      await delay(idleMs * random())
    }
    this.#unread?.destroy()
    this.#agent.destroy()
  }

  /** Asks for an answer that is never read; the connection stays open until the instance closes it. */
  #leaveUnread (): Socket {
    const [host, port] = this.#pick(this.#options.addresses).split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.pause()
    socket.write(`POST /orders/bytes-${LARGEST_ANSWER_BYTES} HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: ${this.#nextId()}\r\nX-Deadline-Ms: ${DEADLINE_MS}\r\nX-Key: ${this.#options.key}\r\nContent-Length: 0\r\n\r\n`)
    return socket
  }

  #call (slowCall: SlowCall): Promise<CallEnd> {
    const { uploadBytes, answerBytes, uploadMs, readMs } = shapes[slowCall]
    const address = this.#pick(this.#options.addresses)
    const id = this.#nextId()
    const path = `/orders/bytes-${answerBytes}`
    const withLength = this.#options.random() < 0.5
    const uploadPauseMs = uploadMs * this.#options.random() / PARTS
    return new Promise((resolve) => {
      const startedMs = performance.now()
      let sentMs: number | null = null
      const end = (status: number | null, fault: string | null, complete = false): void => {
        clearTimeout(timer)
        resolve({ id, address, kind: CallKind.Order, status, fault, progress: { startedMs, sentMs, endedMs: performance.now(), complete, deadlineMs: DEADLINE_MS, answerBytes } })
      }
      const call = request(`http://${address}${path}`, {
        agent: this.#agent,
        method: 'POST',
        headers: { Host: 'soak.example', 'X-Request-Id': id, 'X-Deadline-Ms': String(DEADLINE_MS), 'X-Key': this.#options.key, ...(withLength ? { 'Content-Length': uploadBytes } : {}) }
      }, (answer) => {
        readSlowly(answer, { pauseMs: readMs / PARTS, pauseBytes: answerBytes / PARTS }).then(({ text, complete }) =>
          end(answer.statusCode ?? null, complete && answer.statusCode === 200 && text !== plainAnswer(id, path) ? `answer of ${text.length} characters, ${JSON.stringify(text.slice(0, 80))}` : null, complete), () => end(null, null))
      })
      const timer = setTimeout(() => call.destroy(), DEADLINE_MS)
      call.on('error', () => end(null, null))
      call.on('finish', () => { sentMs = performance.now() })
      void uploadSlowly(Buffer.alloc(uploadBytes, 'u'), uploadPauseMs, (part) => { if (!call.destroyed) call.write(part) }).then(() => call.end())
    })
  }

  #nextId (): string {
    this.#calls += 1
    return `${this.#options.name}-${this.#calls}`
  }

  #pick<T> (from: T[]): T {
    return from[Math.floor(this.#options.random() * from.length)] as T
  }
}

async function uploadSlowly (body: Buffer, pauseMs: number, write: (part: Buffer) => void): Promise<void> {
  const partBytes = Math.ceil(body.length / PARTS)
  for (let from = 0; from < body.length; from += partBytes) {
    write(body.subarray(from, from + partBytes))
    await delay(pauseMs)
  }
}

async function readSlowly (answer: IncomingMessage, { pauseMs, pauseBytes }: { pauseMs: number, pauseBytes: number }): Promise<{ text: string, complete: boolean }> {
  const chunks: Buffer[] = []
  let untilPauseBytes = pauseBytes
  try {
    for await (const chunk of answer) {
      chunks.push(chunk as Buffer)
      untilPauseBytes -= (chunk as Buffer).length
      if (pauseMs === 0 || untilPauseBytes > 0) continue
      untilPauseBytes = pauseBytes
      await delay(pauseMs)
    }
  } catch {
    // A broken answer is judged by its progress only.
  }
  return { text: Buffer.concat(chunks).toString('latin1'), complete: answer.complete }
}

function delay (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
