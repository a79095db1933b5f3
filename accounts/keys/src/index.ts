/** Finds the account of a key, and checks accounts of a configuration. */
export { checkAccounts } from './checkAccounts.ts'
export { createKeyIndex, hashKey } from './keyIndex.ts'
export type { KeyIndex, KeyOwner } from './keyIndex.ts'
