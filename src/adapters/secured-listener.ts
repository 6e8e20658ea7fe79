import type { Server } from 'node:http'
import type { Log } from '../logs/log.js'
import type { Listener } from '../settings/listener.js'
import { RELOAD_PERIOD_MS, TlsFiles } from './tls-files.js'
import { tlsServer } from './tls-server.js'

/** Reads the listener's certificate files, and reloads them on SIGHUP and when they change. Returns undefined for a plain-text listener. */
export function watchedTlsFiles (log: Log, { tls }: Listener): TlsFiles | undefined {
  if (tls === undefined) return undefined
  const files = new TlsFiles({
    settings: tls,
    onReload: (file) => log.info('tls_reloaded', { file }),
    onError: (file, detail) => log.error('tls_reload_failed', { file, detail })
  })
  setInterval(() => files.reload(), RELOAD_PERIOD_MS).unref()
  process.on('SIGHUP', () => files.reload())
  return files
}

/** Returns the server itself, or a TLS server that passes its requests on to it if the settings name a certificate. */
export function securedListener (log: Log, server: Server, listener: Listener): Server {
  const files = watchedTlsFiles(log, listener)
  return files === undefined ? server : tlsServer(server, files)
}
