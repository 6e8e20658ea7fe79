import { readFileSync } from 'node:fs'
import { createSecureContext, type SecureContextOptions } from 'node:tls'
import type { TlsSettings } from '../settings/listener.js'

/** Period of checking the files for new content, in milliseconds. File watches would miss renewals that replace files, links or folders. */
export const RELOAD_PERIOD_MS = 5000

interface TlsFilesOptions {
  settings: TlsSettings
  onReload?: (file: string) => void
  onError?: (file: string, detail: string) => void
}

/** Certificate, private key and certificate authorities of a listener; `reload` reads them again when their files have changed. */
export class TlsFiles {
  readonly #options: TlsFilesOptions
  readonly #listeners = new Set<(context: SecureContextOptions) => void>()
  #current: SecureContextOptions
  /** Content of the files and text of the last error reported for it; empty if the last reload succeeded. */
  #reportedError = ''

  /** Throws if the files can't be read or the private key doesn't match the certificate. */
  constructor (options: TlsFilesOptions) {
    this.#options = options
    try {
      this.#current = readFiles(options.settings)
      createSecureContext(this.#current)
    } catch (error) {
      const { certificateFile, keyFile } = options.settings
      throw new Error(`TLS cannot be set up with ${certificateFile} and ${keyFile}: ${String(error)}. Name readable PEM files that belong together.`, { cause: error })
    }
  }

  /** Whether the other side must present a certificate. */
  get mutual (): boolean {
    return this.#options.settings.caFile !== undefined
  }

  get context (): SecureContextOptions {
    return this.#current
  }

  /** Calls the listener with the new files after each change. */
  subscribe (listener: (context: SecureContextOptions) => void): void {
    this.#listeners.add(listener)
  }

  /** Reads the files and uses them if they have changed and are valid together; otherwise the last valid ones stay in use. */
  reload (): void {
    const { settings: { certificateFile }, onReload, onError } = this.#options
    let content = ''
    try {
      const next = readFiles(this.#options.settings)
      content = contentOf(next)
      if (content === contentOf(this.#current)) {
        this.#reportedError = ''
        return
      }
      createSecureContext(next)
      this.#current = next
      this.#reportedError = ''
      for (const listener of this.#listeners) listener(next)
      onReload?.(certificateFile)
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error)
      // Reports an error once for each content of the files, not at each reload.
      if (this.#reportedError !== content + detail) onError?.(certificateFile, detail)
      this.#reportedError = content + detail
    }
  }
}

function readFiles ({ certificateFile, keyFile, caFile }: TlsSettings): SecureContextOptions {
  return {
    cert: readFileSync(certificateFile, 'utf8'),
    key: readFileSync(keyFile, 'utf8'),
    ...(caFile === undefined ? {} : { ca: readFileSync(caFile, 'utf8') })
  }
}

function contentOf ({ cert, key, ca }: SecureContextOptions): string {
  return [cert, key, ca].join('\n')
}
