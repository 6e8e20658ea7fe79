/** One error in a bundle: the field, what is wrong with it and how to correct it. */
export interface BundleValidationError {
  /** Path of the field, for example `organisations.shop-7.class`. */
  field: string
  found: string
  remedy: string
}

export function formatBundleValidationErrors (errors: BundleValidationError[]): string {
  return errors.map(({ field, found, remedy }) => `${field}: ${found}. ${remedy}`).join('\n')
}
