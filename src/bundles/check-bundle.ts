import type { z } from 'zod'
import { Err, Ok, type Result } from '../errors/result.js'
import { type Bundle, bundleSchema, type Organisation } from './bundle.js'
import { indexOf } from './bundle-index.js'
import type { BundleValidationError } from './bundle-validation-error.js'
import { encode } from 'cbor-x'
import { MAX_PART_BYTES } from './part.js'

/** Faults beyond this number are left out: the first ones are corrected first. */
const MAX_FAULTS = 50

/** Checks the schema, then what the schema can't say: unique names and references. */
export function checkBundle (value: unknown): Result<Bundle, BundleValidationError[]> {
  const parsed = bundleSchema.safeParse(value)
  if (!parsed.success) return Err(parsed.error.issues.slice(0, MAX_FAULTS).map((issue) => schemaFault(issue, value)))
  return checkReferences(parsed.data)
}

/** Organisations that have passed the schema, by the decoded entry. */
const checkedOrganisations = new WeakMap<object, Organisation>()

/** Like `checkBundle`, for content made of shared decoded parts: entries that have been checked before are not parsed again. */
export function checkContent (content: Record<string, unknown>): Result<Bundle, BundleValidationError[]> {
  const entries = Array.isArray(content.organisations) ? content.organisations as object[] : []
  const unchecked = entries.filter((entry) => !checkedOrganisations.has(entry))
  const parsed = bundleSchema.safeParse({ ...content, organisations: unchecked })
  if (!parsed.success) return Err(parsed.error.issues.slice(0, MAX_FAULTS).map((issue) => schemaFault(issue, { ...content, organisations: unchecked })))
  for (const [index, organisation] of parsed.data.organisations.entries()) {
    const entry = unchecked[index]
    if (entry !== undefined) checkedOrganisations.set(entry, organisation)
  }
  const organisations = entries.flatMap((entry) => checkedOrganisations.get(entry) ?? [])
  return checkReferences({ ...parsed.data, organisations })
}

function checkReferences (bundle: Bundle): Result<Bundle, BundleValidationError[]> {
  const faults = [...uniqueFaults(bundle), ...referenceFaults(bundle), ...sizeFaults(bundle)]
  return faults.length === 0 ? Ok(bundle) : Err(faults.slice(0, MAX_FAULTS))
}

function schemaFault (issue: z.core.$ZodIssue, value: unknown): BundleValidationError {
  const field = issue.path.length === 0 ? '(top level)' : issue.path.map(String).join('.')
  if (issue.code === 'unrecognized_keys') {
    return { field, found: `unknown fields ${issue.keys.join(', ')}`, remedy: 'Remove the fields or correct their names.' }
  }
  const found = issue.path.reduce<unknown>((inner, key) => (inner as Record<PropertyKey, unknown> | undefined)?.[key], value)
  return { field, found: `found ${(JSON.stringify(found) ?? 'nothing').slice(0, 80)}`, remedy: `Set a value that fits: ${issue.message}.` }
}

function uniqueFaults (bundle: Bundle): BundleValidationError[] {
  return [
    ...repeated('models', bundle.models.map((model) => model.name)),
    ...repeated('routes', bundle.routes.map((route) => route.name)),
    ...repeated('routes', bundle.routes.map((route) => `${route.method} ${route.path}`)),
    ...repeated('classes', bundle.classes.map((item) => item.name)),
    ...organisationFaults(bundle)
  ]
}

/** The index, which is needed anyway, tells whether ids or key hashes repeat; only then are the repeated ones looked for. */
function organisationFaults (bundle: Bundle): BundleValidationError[] {
  const { organisations } = bundle
  const index = indexOf(bundle)
  const keyHashes = organisations.reduce((sum, organisation) => sum + organisation.keyHashes.length, 0)
  if (index.organisations.size === organisations.length && index.keyHashes === keyHashes) return []
  return [
    ...repeated('organisations', organisations.map((organisation) => organisation.id)),
    ...repeated('organisations.keyHashes', organisations.flatMap((organisation) => organisation.keyHashes))
  ]
}

function repeated (field: string, names: string[]): BundleValidationError[] {
  const seen = new Set<string>()
  const twice = new Set<string>()
  for (const name of names) {
    if (seen.has(name)) twice.add(name)
    seen.add(name)
  }
  return [...twice].map((name) => ({ field: `${field}.${name}`, found: `${name} is there more than once`, remedy: 'Keep one of the entries and remove or rename the others.' }))
}

function referenceFaults (bundle: Bundle): BundleValidationError[] {
  const faults: BundleValidationError[] = []
  const classes = new Set(bundle.classes.map((item) => item.name))
  for (const organisation of bundle.organisations) {
    if (classes.has(organisation.class)) continue
    faults.push({ field: `organisations.${organisation.id}.class`, found: `there is no class ${organisation.class}`, remedy: `Use one of ${[...classes].join(', ')}, or add the class.` })
  }
  const modelServices = new Map(bundle.models.map((model) => [model.service, model.name]))
  for (const route of bundle.routes) {
    const model = modelServices.get(route.service)
    if (model === undefined) continue
    faults.push({ field: `routes.${route.name}.service`, found: `the service ${route.service} runs the model ${model}`, remedy: 'Name a plain service: models are reached by /v1/completions only.' })
  }
  for (const model of bundle.models) {
    if (model.minimumRunners <= model.prefillRunners + model.decodeRunners) continue
    faults.push({ field: `models.${model.name}.minimumRunners`, found: `${model.minimumRunners} is more than the model's runners`, remedy: 'Lower it, or raise prefillRunners or decodeRunners.' })
  }
  return faults
}

/** An entry larger than half a part could not be split further. */
function sizeFaults (bundle: Bundle): BundleValidationError[] {
  return bundle.organisations
    .filter((organisation) => organisation.keyHashes.length > 100 && encode(organisation).length > MAX_PART_BYTES / 2)
    .map(({ id }) => ({ field: `organisations.${id}.keyHashes`, found: 'the entry is too large for one part', remedy: 'Remove key hashes that are no longer used.' }))
}
