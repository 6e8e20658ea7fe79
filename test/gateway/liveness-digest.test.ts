import { describe, expect, test } from '@jest/globals'
import { encodeDatagram, decodeDatagram, PeerDatagramKind } from '../../src/gateway/peer-datagram.js'
import { encodeLivenessDigest, type LivenessEntry, decodeLivenessDigest } from '../../src/gateway/liveness-digest.js'

describe('liveness digest', () => {
  test('keeps its entries in a heartbeat, with ages rounded up to whole units and limited to the largest that fits a byte', () => {
    const entries: LivenessEntry[] = [
      { ip: '10.1.0.35', ageMs: 1, ready: true },
      { ip: '255.0.255.1', ageMs: 1999, ready: false },
      { ip: '192.168.0.1', ageMs: 60_000, ready: true }
    ]
    const status = { ip: '10.0.0.1', failureDomain: 'a', callers: '10.0.0.1:80', ready: true, configurationVersion: 1, storeRevision: 1, reachesStore: true, processorShare: 1 }
    const decoded = decodeDatagram(encodeDatagram({ kind: PeerDatagramKind.Heartbeat, status, known: [], sightings: encodeLivenessDigest(entries) }))
    expect(decoded?.kind === PeerDatagramKind.Heartbeat ? decodeLivenessDigest(decoded.sightings) : null).toEqual([
      { ip: '10.1.0.35', ageMs: 20, ready: true },
      { ip: '255.0.255.1', ageMs: 2000, ready: false },
      { ip: '192.168.0.1', ageMs: 5100, ready: true }
    ])
  })

  test('makes the datagram unreadable if it is malformed', () => {
    const status = { ip: '10.0.0.1' }
    expect(decodeDatagram(encodeDatagram({ kind: PeerDatagramKind.Heartbeat, status, known: [], sightings: { ips: [1] } } as never))).toBeNull()
  })
})
