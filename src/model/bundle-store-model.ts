import { generateKeyPairSync } from 'node:crypto'
import { BundleActionKind } from '../bundles/bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from '../bundles/bundle-event.js'
import type { Bundle } from '../bundles/bundle.js'
import { type PartHash, splitContent } from '../bundles/part.js'
import { encodeRoot, type SignedBundle, signRoot } from '../bundles/signed-bundle.js'
import type { Event } from '../core/event.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'
import type { TrustedKey } from '../settings/entry-settings.js'
import type { EntryModel } from './entry-model.js'
import { CallEnd, type KeyValueModel } from './key-value-model.js'
import type { VirtualClock } from './virtual-clock.js'

interface Head {
  signed: SignedBundle
  fresh: PartHash[]
}

const HEAD = 'bundle/head'

const KEY_ID = 'model'

/** One pair for all models of the process: signatures take part in no decision. */
const keys = generateKeyPairSync('ed25519')
const privateKey = String(keys.privateKey.export({ type: 'pkcs8', format: 'pem' }))

export const modelTrustedKeys: TrustedKey[] = [
  { id: KEY_ID, publicKey: String(keys.publicKey.export({ type: 'spki', format: 'pem' })), revoked: false }
]

/** Signed bundles in the modelled key-value service. */
export class BundleStoreModel {
  readonly #clock: VirtualClock
  readonly #keyValue: KeyValueModel
  readonly #parts = new Map<PartHash, Uint8Array>()
  readonly #watchers = new Set<EntryModel>()
  version = 0

  constructor (options: { clock: VirtualClock, keyValue: KeyValueModel }) {
    this.#clock = options.clock
    this.#keyValue = options.keyValue
  }

  /** Moves the head to a new version with this content. */
  accept (content: Bundle): void {
    const { sections, parts } = splitContent(content)
    const fresh = [...parts.keys()].filter((hash) => !this.#parts.has(hash))
    for (const [hash, bytes] of parts) this.#parts.set(hash, bytes)
    const root = encodeRoot({ version: this.version + 1, parent: this.version, proposal: `proposal-${this.version + 1}`, author: KEY_ID, note: '', proposedMs: 0, sections })
    this.version += 1
    const head: Head = { signed: signRoot(root, KEY_ID, privateKey), fresh }
    this.#keyValue.put(HEAD, head)
    if (this.#keyValue.faults.down) return
    for (const entry of this.#watchers) this.#clock.schedule(this.#keyValue.faults.delayMs, () => entry.emit(headEvent(head, this.version)))
  }

  /** The service went down: every watch ends. */
  endWatches (): void {
    for (const entry of this.#watchers) entry.emit({ kind: BundleEventKind.HeadWatchEnded })
    this.#watchers.clear()
  }

  handlers (entry: EntryModel): ActionHandlers {
    const headReadFailed: Event = { kind: BundleEventKind.HeadReadFailed, source: KEY_VALUE_SOURCE }
    return {
      [BundleActionKind.ReadHead]: () => this.#keyValue.read(HEAD, (end, found) => {
        if (end === CallEnd.Done) entry.emit(headEvent(found?.value as Head | undefined, found?.revision ?? 0))
        else entry.emit(headReadFailed)
      }),
      [BundleActionKind.WatchHead]: () => {
        if (this.#keyValue.faults.down) entry.emit({ kind: BundleEventKind.HeadWatchEnded })
        else this.#watchers.add(entry)
      },
      [BundleActionKind.StopWatch]: () => { this.#watchers.delete(entry) },
      [BundleActionKind.ReadParts]: ({ ask, parts }) => this.#keyValue.read('parts', (end) => {
        if (end !== CallEnd.Done) return
        const present = parts.flatMap((hash) => this.#parts.get(hash) ?? [])
        entry.emit({ kind: BundleEventKind.BundlePartsReceived, from: KEY_VALUE_SOURCE, ask, signed: null, parts: present })
      })
    }
  }
}

function headEvent (head: Head | undefined, revision: number): Event {
  return { kind: BundleEventKind.HeadRead, signed: head?.signed ?? null, fresh: head?.fresh ?? [], parts: [], revision }
}
