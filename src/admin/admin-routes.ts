import * as z from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import { type OperationError, operationError, OperationErrorKind } from '../errors/operation-error.js'
import { AdminRole } from '../settings/admin-settings.js'
import type { AdminRoute } from './admin-route.js'
import { diffBundles } from './bundle-diff.js'
import type { BundleOperations, Operation, ProposalView } from './bundle-operations.js'
import type { Bundle } from '../bundles/bundle.js'

const DEFAULT_HISTORY = 20
const MAX_HISTORY = 1000

const checkBody = z.strictObject({ bundle: z.unknown() })
const proposeBody = z.strictObject({ bundle: z.unknown(), parent: z.int().nonnegative(), note: z.string().max(1000).default('') })
const rollBackBody = z.strictObject({ version: z.int().positive(), note: z.string().max(1000).optional() })
const signBody = z.strictObject({ keyId: z.string().min(1), value: z.string().min(1) })

const defaults = { query: [], body: null, audit: null }

const readRoutes: AdminRoute[] = [
  {
    ...defaults,
    method: 'GET',
    path: '/v1/head',
    role: AdminRole.Read,
    summary: 'Root of the version accepted last; null before the first one',
    handle: async (_call, { operations }) => (await operations.head()).map(({ root }) => ({ root }))
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/versions',
    role: AdminRole.Read,
    summary: 'Roots of the last versions, newest first',
    query: ['limit'],
    handle: async ({ query }, { operations }) => {
      const limit = Number(query.get('limit') ?? DEFAULT_HISTORY)
      if (!Number.isInteger(limit) || limit < 1 || limit > MAX_HISTORY) return malformed('limit', `${query.get('limit')} is not a number from 1 to ${MAX_HISTORY}`)
      return (await operations.history(limit)).map((versions) => ({ versions }))
    }
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/contents/{name}',
    role: AdminRole.Read,
    summary: 'Content of a version, of a proposal, or of the head',
    handle: async ({ path }, { operations }) => await contentOf(operations, path.name ?? '')
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/diff',
    role: AdminRole.Read,
    summary: 'Entries that differ between two versions or proposals',
    query: ['from', 'to'],
    handle: async ({ query }, { operations }) => {
      const [from, to] = [await contentOf(operations, query.get('from') ?? ''), await contentOf(operations, query.get('to') ?? '')]
      if (from.err) return from
      if (to.err) return to
      return Ok({ changes: diffBundles(from.val.bundle, to.val.bundle) })
    }
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/proposals',
    role: AdminRole.Read,
    summary: 'Unsigned proposals',
    handle: async (_call, { operations }) => (await operations.proposals()).map((proposals) => ({ proposals: proposals.map(proposalAnswer) }))
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/proposals/{id}',
    role: AdminRole.Read,
    summary: 'One proposal with the text to sign',
    handle: async ({ path }, { operations }) => (await operations.proposal(path.id ?? '')).map(proposalAnswer)
  },
  {
    ...defaults,
    method: 'GET',
    path: '/v1/instances',
    role: AdminRole.Read,
    summary: 'Which version each entry instance has in force, and since when',
    handle: async (_call, { instances }) => Ok({ instances: await instances() })
  },
  {
    ...defaults,
    method: 'POST',
    path: '/v1/check',
    role: AdminRole.Read,
    summary: 'Checks a bundle without storing it',
    body: checkBody,
    handle: async ({ body }, { operations }) => operations.check((body as z.infer<typeof checkBody>).bundle).map(() => ({ valid: true }))
  }
]

const changeRoutes: AdminRoute[] = [
  {
    ...defaults,
    method: 'POST',
    path: '/v1/proposals',
    role: AdminRole.Propose,
    summary: 'Stores an unsigned proposal based on the head',
    body: proposeBody,
    audit: 'bundle_proposed',
    handle: async ({ body, caller }, { operations }) => {
      const proposal = body as z.infer<typeof proposeBody>
      return (await operations.propose({ ...proposal, author: caller.name })).map(proposalAnswer)
    }
  },
  {
    ...defaults,
    method: 'POST',
    path: '/v1/rollbacks',
    role: AdminRole.Propose,
    summary: 'Proposes the content of an earlier version as the next one',
    body: rollBackBody,
    audit: 'bundle_rollback_proposed',
    handle: async ({ body, caller }, { operations }) => {
      const { version, note } = body as z.infer<typeof rollBackBody>
      return (await operations.rollBack({ version, author: caller.name, ...(note === undefined ? {} : { note }) })).map(proposalAnswer)
    }
  },
  {
    ...defaults,
    method: 'POST',
    path: '/v1/proposals/{id}/signature',
    role: AdminRole.Sign,
    summary: 'Makes a proposal the next version by its signature',
    body: signBody,
    audit: 'bundle_signed',
    handle: async ({ path, body }, { operations }) => {
      const signature = body as z.infer<typeof signBody>
      return await operations.sign({ proposal: path.id ?? '', signature })
    }
  }
]

/** All routes of the administration API. */
export const adminRoutes: AdminRoute[] = [...readRoutes, ...changeRoutes]

function proposalAnswer ({ id, root, accepted, decoded }: ProposalView): Record<string, unknown> {
  return { proposal: id, version: decoded.version, parent: decoded.parent, author: decoded.author, note: decoded.note, proposedMs: decoded.proposedMs, accepted, root }
}

async function contentOf (operations: BundleOperations, name: string): Operation<{ version: number, bundle: Bundle }> {
  if (name === 'head') return await operations.content()
  return /^\d+$/.test(name) ? await operations.content(Number(name)) : await operations.proposedContent(name)
}

function malformed (field: string, found: string): Result<never, OperationError> {
  return Err(operationError(OperationErrorKind.Malformed, field, found))
}
