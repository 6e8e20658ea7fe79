import type { Log } from '../logs/log.js'
import type { Configuration } from './configuration.js'
import type { InstanceTable } from './instance-table.js'

interface CoordinatedServicesOptions {
  /** Address of this instance. */
  ip: string
  instances: InstanceTable
  canCoordinate: () => boolean
  /** Called when this instance becomes the coordinator of a service. */
  onGain: () => void
  log: Log
}

/** The services with model runners that this instance coordinates. */
export class CoordinatedServices {
  readonly #options: CoordinatedServicesOptions
  readonly #names = new Set<string>()

  constructor (options: CoordinatedServicesOptions) {
    this.#options = options
  }

  names (): string[] {
    return [...this.#names]
  }

  update (configuration: Configuration | null): void {
    const { ip, instances, canCoordinate, onGain, log } = this.#options
    for (const service of configuration?.services ?? []) {
      if (service.engine === null) continue
      const isCoordinator = instances.coordinatorOf(service.name, canCoordinate()) === ip
      if (isCoordinator === this.#names.has(service.name)) continue
      if (isCoordinator) {
        this.#names.add(service.name)
        onGain()
      } else {
        this.#names.delete(service.name)
      }
      log.info('keeper.changed', { service: service.name, keeps: isCoordinator, instances: instances.servingCount() })
    }
  }
}
