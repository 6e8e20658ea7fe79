import type { Event } from '../core/event.js'
import type { KeyValue, KeyValueService } from '../ports/key-value.js'
import type { KeyValueTransactions } from '../ports/key-value-transactions.js'
import { BundleActionKind } from '../bundles/bundle-action.js'
import { BundleEventKind, KEY_VALUE_SOURCE } from '../bundles/bundle-event.js'
import { decodeRecord, headRecordSchema, partKey } from '../bundles/bundle-records.js'
import { HEAD_KEY } from '../bundles/signed-bundle.js'
import type { ActionHandlers } from '../runtime/action-handlers.js'

interface BundleActionOptions {
  keyValue: KeyValueService & KeyValueTransactions
  emit: (event: Event) => void
}

/** Reads and watches the head record and reads parts in the key-value service. */
export function bundleActions ({ keyValue, emit }: BundleActionOptions): ActionHandlers {
  let watch: AbortController | null = null
  return {
    [BundleActionKind.ReadHead]: async ({ knownRevision }) => {
      const head = await keyValue.getIfChanged(HEAD_KEY, knownRevision)
      if (head.err) emit({ kind: BundleEventKind.HeadReadFailed, source: KEY_VALUE_SOURCE })
      else if (head.val.changed || knownRevision === 0) emit(headEvent(head.val.item))
      else emit({ kind: BundleEventKind.HeadUnchanged })
    },
    [BundleActionKind.WatchHead]: async ({ fromRevision }) => {
      watch?.abort()
      const current = new AbortController()
      watch = current
      const ended = await keyValue.watch(HEAD_KEY, (change) => emit(headEvent(change)), current.signal, fromRevision)
      if (ended.err && watch === current) emit({ kind: BundleEventKind.HeadWatchEnded })
    },
    [BundleActionKind.StopWatch]: () => {
      watch?.abort()
      watch = null
    },
    [BundleActionKind.ReadParts]: async ({ ask, parts }) => {
      const found = await keyValue.getEach(parts.map(partKey))
      // After a failed read no event is emitted: the request times out and the fetch continues with another source.
      if (found.err) return
      const present = found.val.flatMap((item) => item === null ? [] : [item.value])
      emit({ kind: BundleEventKind.BundlePartsReceived, from: KEY_VALUE_SOURCE, ask, signed: null, parts: present })
    }
  }
}

function headEvent (item: KeyValue | null): Event {
  if (item === null) return { kind: BundleEventKind.HeadRead, signed: null, fresh: [], parts: [], revision: 0 }
  const record = decodeRecord(item.value, headRecordSchema)
  if (record.err) return { kind: BundleEventKind.BundleRejected, version: 0, source: KEY_VALUE_SOURCE, detail: record.val }
  const { fresh, parts, ...signed } = record.val
  return { kind: BundleEventKind.HeadRead, signed, fresh, parts: parts.map((text) => Buffer.from(text, 'base64')), revision: item.modRevision }
}
