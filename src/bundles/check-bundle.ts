import type { z } from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import { type Bundle, bundleSchema, type Organisation } from './bundle.js'
import { bundleIndexOf } from './bundle-index.js'
import type { BundleValidationError } from './bundle-validation-error.js'
import { encode } from 'cbor-x'
import { MAX_PART_BYTES } from './part.js'

/** Maximum number of reported errors; further ones are left out and reported once the first ones are corrected. */
const MAX_ERRORS = 50

/** Checks the schema, then what the schema can't express: unique names, references and entry sizes. */
export function checkBundle (value: unknown): Result<Bundle, BundleValidationError[]> {
  const parsed = bundleSchema.safeParse(value)
  if (!parsed.success) return Err(parsed.error.issues.slice(0, MAX_ERRORS).map((issue) => schemaError(issue, value)))
  return checkReferences(parsed.data)
}

/** Organisations that have passed the schema, keyed by the decoded entry. */
const checkedOrganisations = new WeakMap<object, Organisation>()

/** Like `checkBundle`, for content joined from decoded parts that versions share: entries that were checked before are not parsed again. */
export function checkContent (content: Record<string, unknown>): Result<Bundle, BundleValidationError[]> {
  const entries = Array.isArray(content.organisations) ? content.organisations as object[] : []
  const unchecked = entries.filter((entry) => !checkedOrganisations.has(entry))
  const parsed = bundleSchema.safeParse({ ...content, organisations: unchecked })
  if (!parsed.success) return Err(parsed.error.issues.slice(0, MAX_ERRORS).map((issue) => schemaError(issue, { ...content, organisations: unchecked })))
  for (const [index, organisation] of parsed.data.organisations.entries()) {
    const entry = unchecked[index]
    if (entry !== undefined) checkedOrganisations.set(entry, organisation)
  }
  const organisations = entries.flatMap((entry) => checkedOrganisations.get(entry) ?? [])
  return checkReferences({ ...parsed.data, organisations })
}

function checkReferences (bundle: Bundle): Result<Bundle, BundleValidationError[]> {
  const errors = [...duplicateErrors(bundle), ...referenceErrors(bundle), ...sizeErrors(bundle)]
  return errors.length === 0 ? Ok(bundle) : Err(errors.slice(0, MAX_ERRORS))
}

function schemaError (issue: z.core.$ZodIssue, value: unknown): BundleValidationError {
  const field = issue.path.length === 0 ? '(top level)' : issue.path.map(String).join('.')
  if (issue.code === 'unrecognized_keys') {
    return { field, found: `unknown fields ${issue.keys.join(', ')}`, remedy: 'Remove the fields or correct their names.' }
  }
  const found = issue.path.reduce<unknown>((inner, key) => (inner as Record<PropertyKey, unknown> | undefined)?.[key], value)
  return { field, found: `found ${(JSON.stringify(found) ?? 'nothing').slice(0, 80)}`, remedy: `Set a value that fits: ${issue.message}.` }
}

function duplicateErrors (bundle: Bundle): BundleValidationError[] {
  return [
    ...duplicatesAmong('models', bundle.models.map((model) => model.name)),
    ...duplicatesAmong('routes', bundle.routes.map((route) => route.name)),
    ...duplicatesAmong('routes', bundle.routes.map((route) => `${route.method} ${route.path}`)),
    ...duplicatesAmong('classes', bundle.classes.map((item) => item.name)),
    ...duplicateOrganisationErrors(bundle)
  ]
}

/** Searches for duplicate ids and key hashes only if the index, which is needed anyway, has fewer of them than the bundle. */
function duplicateOrganisationErrors (bundle: Bundle): BundleValidationError[] {
  const { organisations } = bundle
  const index = bundleIndexOf(bundle)
  const keyHashes = organisations.reduce((sum, organisation) => sum + organisation.keyHashes.length, 0)
  if (index.organisations.size === organisations.length && index.keyHashCount === keyHashes) return []
  return [
    ...duplicatesAmong('organisations', organisations.map((organisation) => organisation.id)),
    ...duplicatesAmong('organisations.keyHashes', organisations.flatMap((organisation) => organisation.keyHashes))
  ]
}

function duplicatesAmong (field: string, names: string[]): BundleValidationError[] {
  const seen = new Set<string>()
  const duplicates = new Set<string>()
  for (const name of names) {
    if (seen.has(name)) duplicates.add(name)
    seen.add(name)
  }
  return [...duplicates].map((name) => ({ field: `${field}.${name}`, found: `${name} is there more than once`, remedy: 'Keep one of the entries and remove or rename the others.' }))
}

function referenceErrors (bundle: Bundle): BundleValidationError[] {
  const errors: BundleValidationError[] = []
  const classes = new Set(bundle.classes.map((item) => item.name))
  for (const organisation of bundle.organisations) {
    if (classes.has(organisation.class)) continue
    errors.push({ field: `organisations.${organisation.id}.class`, found: `there is no class ${organisation.class}`, remedy: `Use one of ${[...classes].join(', ')}, or add the class.` })
  }
  const modelServices = new Map(bundle.models.map((model) => [model.service, model.name]))
  for (const route of bundle.routes) {
    const model = modelServices.get(route.service)
    if (model === undefined) continue
    errors.push({ field: `routes.${route.name}.service`, found: `the service ${route.service} runs the model ${model}`, remedy: 'Name a plain service: models are reached by /v1/completions only.' })
  }
  for (const model of bundle.models) {
    if (model.minimumRunners <= model.prefillRunners + model.decodeRunners) continue
    errors.push({ field: `models.${model.name}.minimumRunners`, found: `${model.minimumRunners} is more than the model's runners`, remedy: 'Lower it, or raise prefillRunners or decodeRunners.' })
  }
  return errors
}

/** An entry is never split across parts, so its size is limited to half a part. Only many key hashes make an entry that large, so entries with up to 100 are not encoded. */
function sizeErrors (bundle: Bundle): BundleValidationError[] {
  return bundle.organisations
    .filter((organisation) => organisation.keyHashes.length > 100 && encode(organisation).length > MAX_PART_BYTES / 2)
    .map(({ id }) => ({ field: `organisations.${id}.keyHashes`, found: 'the entry is too large for one part', remedy: 'Remove key hashes that are no longer used.' }))
}
