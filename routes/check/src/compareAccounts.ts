/** Compares the accounts of two route tables. Neither keys nor digests are shown: only how many there are. */
import type { Account, AccountQuota, RouteTable } from '@catkinferry/core.types'
import { createNote, createWarning, EffectCode, listFieldDifferences } from './effects.ts'
import type { Difference, Effect, FieldDifference } from './effects.ts'
import type { FormatName } from './formatName.ts'

const QUOTA_FIELDS = ['ratePerSecond', 'burst', 'unit', 'plainUnits'] as const satisfies ReadonlyArray<keyof AccountQuota>
const NO_QUOTA: Partial<AccountQuota> = {}

export interface AccountComparison {
  readonly before: RouteTable
  readonly after: RouteTable
  readonly formatName: FormatName
}

function formatCount (count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`
}

function groupOwners (accounts: readonly Account[]): ReadonlyMap<string, Account> {
  return new Map(accounts.flatMap(account => account.keyDigests.map(digest => [digest, account] as const)))
}

/** What happens to the keys of an account that it no longer has. */
function listLostKeyEffects (lost: readonly string[], owners: ReadonlyMap<string, Account>, formatName: FormatName): Effect[] {
  const stopping = lost.filter(digest => !owners.has(digest)).length
  const countByNewAccount = new Map<string, number>()
  for (const digest of lost) {
    const owner = owners.get(digest)
    if (owner !== undefined) countByNewAccount.set(owner.name, (countByNewAccount.get(owner.name) ?? 0) + 1)
  }
  return [
    ...(stopping === 0 ? [] : [createWarning(EffectCode.KEYS_STOP, `${formatCount(stopping, 'key')} of the account will no longer be accepted (401)`)]),
    ...[...countByNewAccount].map(([name, count]) => createWarning(EffectCode.KEYS_MOVE, `${formatCount(count, 'key')} will belong to account ${formatName(name)}`))
  ]
}

function listQuotaEffects (before: AccountQuota | undefined, after: AccountQuota | undefined): Effect[] {
  if (after === undefined) return []
  const { unit, ratePerSecond, burst } = after
  if (before === undefined) return [createWarning(EffectCode.REQUESTS_REFUSED, `requests over ${ratePerSecond} ${unit} a second are refused (429); there was no limit`)]
  if (before.unit !== unit) return [createWarning(EffectCode.REQUESTS_REFUSED, `requests over ${ratePerSecond} ${unit} a second are refused (429); the limit counted ${before.unit}`)]
  if (ratePerSecond < before.ratePerSecond) return [createWarning(EffectCode.REQUESTS_REFUSED, `requests over ${ratePerSecond} ${unit} a second are refused (429); the limit was ${before.ratePerSecond}`)]
  if (burst < before.burst) return [createWarning(EffectCode.REQUESTS_REFUSED, `requests over a burst of ${burst} ${unit} are refused (429); the burst was ${before.burst}`)]
  return after.plainUnits > before.plainUnits ? [createWarning(EffectCode.REQUESTS_REFUSED, `a request without a number of tokens counts ${after.plainUnits} instead of ${before.plainUnits}, so fewer are within the limit`)] : []
}

function compareAccount (before: Account, after: Account, owners: ReadonlyMap<string, Account>, formatName: FormatName): { readonly fields: readonly FieldDifference[], readonly effects: readonly Effect[] } {
  const lost = before.keyDigests.filter(digest => !after.keyDigests.includes(digest))
  const gained = after.keyDigests.filter(digest => !before.keyDigests.includes(digest))
  const fields = [
    ...(lost.length + gained.length === 0 ? [] : [{ field: 'keyDigests', before: formatCount(before.keyDigests.length, 'key'), after: `${formatCount(after.keyDigests.length, 'key')}: ${gained.length} added, ${lost.length} removed` }]),
    ...listFieldDifferences(before, after, ['priority']),
    ...listFieldDifferences<Partial<AccountQuota>>(before.quota ?? NO_QUOTA, after.quota ?? NO_QUOTA, QUOTA_FIELDS)
  ]
  const started = gained.length === 0 ? [] : [createNote(EffectCode.KEYS_START, `${formatCount(gained.length, 'key')} will be accepted`)]
  return { fields, effects: [...listLostKeyEffects(lost, owners, formatName), ...started, ...listQuotaEffects(before.quota, after.quota)] }
}

/** Accounts that appear or disappear as a whole. */
function compareLists ({ before, after }: AccountComparison): Difference[] {
  if ((before.accounts === undefined) === (after.accounts === undefined)) return []
  const closed = (after.accounts === undefined ? before : after).routes.filter(({ isPublic }) => isPublic !== true).length
  if (closed === 0) return [{ kind: 'accounts', change: after.accounts === undefined ? 'removed' : 'added', name: 'all accounts', fields: [], effects: [] }]
  if (after.accounts !== undefined) return [{ kind: 'accounts', change: 'added', name: 'all accounts', path: ['accounts'], fields: [], effects: [createWarning(EffectCode.KEYS_REQUIRED, `requests without a key are refused (401) on ${formatCount(closed, 'route')}`)] }]
  return [{ kind: 'accounts', change: 'removed', name: 'all accounts', fields: [], effects: [createWarning(EffectCode.KEYS_NOT_REQUIRED, `requests without a key are served on ${formatCount(closed, 'route')}, without quotas`)] }]
}

/** Accounts are the same if their names are. */
export function compareAccounts (comparison: AccountComparison): readonly Difference[] {
  const { before, after, formatName } = comparison
  const [first, second] = [before.accounts ?? [], after.accounts ?? []]
  const lists = compareLists(comparison)
  const owners = groupOwners(second)
  const known = new Map(first.map(account => [account.name, account]))
  const kept = new Set(second.map(({ name }) => name))
  const present = second.flatMap((account, index): Difference[] => {
    const previous = known.get(account.name)
    const build = (): Pick<Difference, 'kind' | 'name' | 'path'> => ({ kind: 'account', name: formatName(account.name), path: ['accounts', index] })
    if (previous === undefined) return [{ ...build(), change: 'added', fields: [], effects: [createNote(EffectCode.KEYS_START, `${formatCount(account.keyDigests.length, 'key')} will be accepted`)] }]
    const compared = compareAccount(previous, account, owners, formatName)
    return compared.fields.length === 0 ? [] : [{ ...build(), change: 'changed', ...compared }]
  })
  // Without accounts no key is checked, so none stops working.
  const removed = first.filter(({ name }) => !kept.has(name)).map((account): Difference => ({ kind: 'account', change: 'removed', name: formatName(account.name), fields: [], effects: after.accounts === undefined ? [] : listLostKeyEffects(account.keyDigests, owners, formatName) }))
  return [...lists, ...present, ...removed]
}
