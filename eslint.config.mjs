import neostandard, { plugins } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: {
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 80, skipBlankLines: true, skipComments: true }],
      'no-void': ['error', { allowAsStatement: true }],
      complexity: ['error', 16]
    }
  },
  {
    files: ['**/test/**/*.ts'],
    rules: { 'max-lines-per-function': 'off' }
  }
]
