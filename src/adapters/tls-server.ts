import type { Server } from 'node:http'
import { createServer } from 'node:https'
import type { TlsFiles } from './tls-files.js'

/** Creates a TLS server that passes its requests on to the plain HTTP server. If the files include certificate authorities, callers must present a certificate signed by one of them. */
export function tlsServer (plain: Server, files: TlsFiles): Server {
  const { keepAliveTimeout, requestTimeout, headersTimeout } = plain
  const options = { ...files.context, requestCert: files.mutual, rejectUnauthorized: files.mutual }
  const server = createServer({ ...options, keepAliveTimeout, requestTimeout, headersTimeout }, (request, response) => {
    plain.emit('request', request, response)
  })
  files.subscribe((context) => server.setSecureContext(context))
  return server
}
