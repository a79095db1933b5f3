/** Differences between the accounts of two versions of the route table: a change of one account must not send all of them. */
import { isDeepStrictEqual } from 'node:util'
import type { Account, AccountChanges } from '@catkinferry/core.types'

/** Undefined if the accounts are the same; null if the later version has none. */
export function computeAccountChanges (before: readonly Account[] | undefined, after: readonly Account[] | undefined): AccountChanges | null | undefined {
  if (after === undefined) return before === undefined ? undefined : null
  const known = new Map(before?.map(account => [account.name, account]))
  const set = after.filter(account => !isDeepStrictEqual(known.get(account.name), account))
  const kept = new Set(after.map(({ name }) => name))
  const removed = [...known.keys()].filter(name => !kept.has(name))
  return before !== undefined && set.length === 0 && removed.length === 0 ? undefined : { set, removed }
}

/** Applies changes to the accounts that they start from. */
export function applyAccountChanges (before: readonly Account[] | undefined, changes: AccountChanges | null | undefined): readonly Account[] | undefined {
  if (changes === undefined) return before
  if (changes === null) return undefined
  const accounts = new Map(before?.map(account => [account.name, account]))
  for (const name of changes.removed) accounts.delete(name)
  for (const account of changes.set) accounts.set(account.name, account)
  return [...accounts.values()]
}
