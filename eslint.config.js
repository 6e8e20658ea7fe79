import neostandard from 'neostandard'

const rules = {
  'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
  'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
  'no-void': ['error', { allowAsStatement: true }],
  '@typescript-eslint/consistent-type-imports': 'error',
  '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }]
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  { files: ['src/**/*.ts', 'platform/**/*.ts'], rules },
  { files: ['test/**/*.ts'], rules: { '@typescript-eslint/consistent-type-imports': 'error' } }
]
