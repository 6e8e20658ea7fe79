import type { z } from 'zod'
import type { OperationError } from '../errors/operation-error.js'
import type { Result } from '../errors/result.js'
import type { AdminCaller, AdminRole } from '../settings/admin-settings.js'
import type { BundleOperations } from './bundle-operations.js'
import type { InstanceStatus } from './instance-status.js'

export interface AdminCall {
  caller: AdminCaller
  /** Values of the names in the path's braces. */
  path: Record<string, string>
  query: URLSearchParams
  /** The body, checked by the route's schema. */
  body: unknown
}

export interface AdminServices {
  operations: BundleOperations
  instances: () => Promise<InstanceStatus[]>
}

/** One route of the administration API. */
export interface AdminRoute {
  method: 'GET' | 'POST'
  /** With names in braces, as in OpenAPI. */
  path: string
  role: AdminRole
  summary: string
  query: string[]
  body: z.ZodType | null
  /** Name of the audit line; null for routes that change nothing. */
  audit: string | null
  handle: (call: AdminCall, services: AdminServices) => Promise<Result<unknown, OperationError>>
}
