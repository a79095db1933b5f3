/** Checks the accounts of a configuration before a core host accepts it. */
import type { Account, AccountQuota, ConfigProblem } from '@catkinferry/core.types'
import { hashKey } from './keyIndex.ts'

const EMPTY_KEY_DIGEST = hashKey('')
const DIGEST = /^[0-9a-f]{64}$/
/** Endpoints receive the name in a header, whose value may hold only printable characters of one byte. */
const HEADER_VALUE = /^[ -~\u00a0-\u00ff]*$/

type Place = (...path: ReadonlyArray<string | number>) => (text: string) => ConfigProblem

function listNameProblems (accounts: readonly Account[], index: number, indexesByName: Map<string, number>): string[] {
  const name = accounts[index]?.name ?? ''
  if (name === '') return ['the name must not be empty']
  const first = indexesByName.get(name)
  if (first === undefined) indexesByName.set(name, index)
  return [
    ...(first === undefined ? [] : [`account ${first} has the same name`]),
    ...(HEADER_VALUE.test(name) && name.trim() === name ? [] : ['the name cannot be sent in a header'])
  ]
}

function describeKeyProblem (digest: string, index: number, owner: number | undefined): string | undefined {
  if (digest === EMPTY_KEY_DIGEST) return 'the key must not be empty'
  if (!DIGEST.test(digest)) return 'the digest must be a SHA-256 in lower-case hexadecimal'
  if (owner === index) return 'the account lists the same key twice'
  return owner === undefined ? undefined : `account ${owner} has the same key`
}

const QUOTA_FIELDS = ['ratePerSecond', 'burst', 'plainUnits'] as const satisfies ReadonlyArray<keyof AccountQuota>

function listQuotaProblems (quota: AccountQuota, place: Place): ConfigProblem[] {
  return QUOTA_FIELDS.filter(field => !(quota[field] >= 0 && Number.isFinite(quota[field]))).map(field => place('quota', field)('must be a number of 0 or more'))
}

/** Lists all problems of accounts; empty if they may be accepted. Paths begin with the index of the account. Accounts are named by their index, never by name. */
export function checkAccounts (accounts: readonly Account[]): readonly ConfigProblem[] {
  const indexesByName = new Map<string, number>()
  const ownersByDigest = new Map<string, number>()
  return accounts.flatMap(({ keyDigests, priority, quota }, index) => {
    const place: Place = (...path) => text => ({ path: [index, ...path], text })
    const keyProblems = keyDigests.flatMap((digest, position) => {
      const problem = describeKeyProblem(digest, index, ownersByDigest.get(digest))
      if (!ownersByDigest.has(digest)) ownersByDigest.set(digest, index)
      return problem === undefined ? [] : [place('keyDigests', position)(problem)]
    })
    return [
      ...listNameProblems(accounts, index, indexesByName).map(place('name')),
      ...keyProblems,
      ...(priority === undefined || Number.isFinite(priority) ? [] : [place('priority')('must be a number')]),
      ...(quota === undefined ? [] : listQuotaProblems(quota, place))
    ]
  })
}
