import type { BundleValidationError } from '../bundles/bundle-validation-error.js'

/** Reasons for which an operation on bundles is refused. */
export enum OperationErrorKind {
  Malformed = 'malformed',
  Conflict = 'conflict',
  UnknownProposal = 'unknown_proposal',
  UnknownVersion = 'unknown_version',
  NotTrusted = 'not_trusted',
  PartMissing = 'part_missing',
  Unavailable = 'unavailable',
  OutcomeUnknown = 'outcome_unknown'
}

/** Error of a refused operation: the field, what was found in it and the remedy. */
export interface OperationError {
  kind: OperationErrorKind
  field: string
  found: string
  remedy: string
  /** Version to base the next proposal on after a conflict, else null. */
  rebaseOn: number | null
  /** All validation errors of a malformed bundle. */
  faults: BundleValidationError[]
}

interface OperationErrorDescription {
  /** HTTP status. */
  status: number
  /** Exit code of the command line. */
  exitCode: number
  remedy: string
}

export const operationErrorDescriptions: Record<OperationErrorKind, OperationErrorDescription> = {
  [OperationErrorKind.Malformed]: { status: 422, exitCode: 3, remedy: 'Correct the named fields and propose again.' },
  [OperationErrorKind.Conflict]: { status: 409, exitCode: 4, remedy: 'Fetch the version in rebaseOn, apply the change to it and propose it with that parent.' },
  [OperationErrorKind.UnknownProposal]: { status: 404, exitCode: 5, remedy: 'Use the id printed by propose; open proposals are listed by status.' },
  [OperationErrorKind.UnknownVersion]: { status: 404, exitCode: 5, remedy: 'Use a version listed by history.' },
  [OperationErrorKind.NotTrusted]: { status: 403, exitCode: 6, remedy: 'Sign with a key that is among the trusted keys and is not revoked.' },
  [OperationErrorKind.PartMissing]: { status: 410, exitCode: 5, remedy: 'The content was removed as unused; propose the bundle again from its file.' },
  [OperationErrorKind.Unavailable]: { status: 503, exitCode: 7, remedy: 'No version was changed; try again when the key-value service answers.' },
  [OperationErrorKind.OutcomeUnknown]: { status: 502, exitCode: 8, remedy: 'Repeat the same command: a repetition never makes a second version.' }
}

/** Creates an error with the remedy of its kind. */
export function operationError (kind: OperationErrorKind, field: string, found: string, details: { rebaseOn?: number, faults?: BundleValidationError[] } = {}): OperationError {
  return { kind, field, found, remedy: operationErrorDescriptions[kind].remedy, rebaseOn: details.rebaseOn ?? null, faults: details.faults ?? [] }
}
