import * as z from 'zod'

/** Files of a TLS certificate, reloaded when they change. */
export const tlsSchema = z.strictObject({
  certificateFile: z.string().min(1).describe('Certificate chain, PEM'),
  keyFile: z.string().min(1).describe('Private key of the certificate, PEM'),
  caFile: z.string().min(1).optional().describe('Certificates of the authorities that sign the other side, PEM; if set, the other side must present a certificate')
})

export type TlsSettings = z.infer<typeof tlsSchema>

/** Address, port and TLS files of a listener; plain text on an address other than loopback must be allowed explicitly. */
export const listenerSchema = z.strictObject({
  host: z.ipv4().or(z.ipv6()).default('127.0.0.1').describe('IP number to listen on'),
  port: z.int().min(0).max(65535).describe('TCP port to listen on'),
  tls: tlsSchema.optional().describe('Certificate of the listener; without it the listener speaks plain text'),
  allowPlainText: z.boolean().optional().describe('Allow plain text on an address other than loopback')
}).refine(({ host, tls, allowPlainText }) => isLoopback(host) || tls !== undefined || allowPlainText === true, {
  path: ['tls'],
  error: 'a listener on an address other than loopback needs tls, or allowPlainText: true'
})

/** Listener for other entry instances: with TLS, both sides present a certificate. */
export const peerListenerSchema = listenerSchema.refine(({ tls }) => tls === undefined || tls.caFile !== undefined, {
  path: ['tls', 'caFile'],
  error: 'TLS between peers is mutual and needs the file of the authority'
})

export type Listener = z.infer<typeof listenerSchema>

function isLoopback (host: string): boolean {
  return host.startsWith('127.') || host === '::1'
}
