import { connect } from 'node:net'
import { HOST } from './fleet.mjs'

/** Sends one request on a new channel and reads the answer as HTTP/1.1 says: by its length, by its chunks, or until the channel ends. */
export function call (address, { id, method = 'POST', path, headers = {}, deadlineMs, body = '', onStart = () => {} }) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) })
    const chunks = []
    let failed = null
    let started = false
    const settle = () => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ id, ...parseAnswer(Buffer.concat(chunks), failed === null), failed })
    }
    const timer = setTimeout(() => {
      failed = 'the client gave up'
      settle()
    }, deadlineMs + 500)
    socket.on('connect', () => {
      const fields = { Host: HOST, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, 'Content-Length': Buffer.byteLength(body), ...headers }
      socket.write(`${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`)
    })
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      if (!started) onStart()
      started = true
      if (parseAnswer(Buffer.concat(chunks), false).complete) settle()
    })
    socket.on('end', settle)
    socket.on('error', (error) => {
      failed = error.code
      settle()
    })
  })
}

/** `ended` states whether the channel was closed in order. */
function parseAnswer (bytes, ended) {
  const text = bytes.toString('latin1')
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd === -1) return { status: null, headers: {}, body: '', complete: false }
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const status = Number(statusLine.split(' ')[1])
  const rest = text.slice(headEnd + 4)
  const length = headers['content-length']
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, framing: 'chunks', ...parseChunks(rest) }
  if (length !== undefined) return { status, headers, framing: 'length', body: rest.slice(0, Number(length)), complete: rest.length >= Number(length) }
  return { status, headers, framing: 'none', body: rest, complete: ended }
}

function parseChunks (text) {
  let body = ''
  let offset = 0
  for (;;) {
    const lineEnd = text.indexOf('\r\n', offset)
    if (lineEnd === -1) return { body, complete: false }
    const size = parseInt(text.slice(offset, lineEnd), 16)
    if (size === 0) return { body, complete: text.slice(lineEnd, lineEnd + 4) === '\r\n\r\n' }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size)
    offset = lineEnd + 2 + size + 2
  }
}
