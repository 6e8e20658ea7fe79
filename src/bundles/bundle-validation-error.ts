/** One fault of a bundle: the field, what is wrong and what to do. */
export interface BundleValidationError {
  /** Path of the field, for instance `organisations.shop-7.class`. */
  field: string
  found: string
  remedy: string
}

export function formatBundleValidationErrors (faults: BundleValidationError[]): string {
  return faults.map(({ field, found, remedy }) => `${field}: ${found}. ${remedy}`).join('\n')
}
