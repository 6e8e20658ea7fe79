import { randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import { EtcdKeyValue } from '../adapters/etcd-key-value.js'
import { securedListener } from '../adapters/secured-listener.js'
import { createLog, type Log } from '../logs/log.js'
import type { AdminSettings } from '../settings/admin-settings.js'
import { createAdminListener } from './admin-listener.js'
import { BundleOperations } from './bundle-operations.js'
import { operatorAddresses, readInstanceStatus } from './instance-status.js'
import { sweepParts } from './sweep.js'

/** Starts the administration API. Several of these processes may run side by side: the key-value service decides each race. */
export async function startAdmin (settings: AdminSettings, log: Log = createLog({ level: settings.logLevel })): Promise<Server> {
  const keyValue = new EtcdKeyValue({ baseUrl: settings.keyValueUrl })
  const operations = new BundleOperations({ keyValue, trustedKeys: settings.trustedKeys, nowMs: Date.now, nextId: randomUUID })
  const listener = createAdminListener({
    operations,
    instances: async () => await readInstanceStatus(await operatorAddresses(settings)),
    callers: settings.callers,
    maxBodyBytes: settings.maxBodyBytes,
    log
  })
  const server = securedListener(log, listener, settings.listener)
  const { host, port } = settings.listener
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve())
  })
  const sweep = setInterval(() => { void sweepOnce(keyValue, log) }, settings.sweepPeriodMs)
  server.once('close', () => clearInterval(sweep))
  log.info('admin_started', { listener: `${host}:${port}`, callers: settings.callers.length })
  return server
}

async function sweepOnce (keyValue: EtcdKeyValue, log: Log): Promise<void> {
  const swept = await sweepParts({ keyValue, nowMs: Date.now() })
  if (swept.ok) log.info('bundle_parts_swept', { ...swept.val })
  else log.warn('bundle_sweep_failed', { detail: swept.val.found })
}
