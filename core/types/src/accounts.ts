/** Client accounts: who may call, by which keys, and how much each account may use over the whole fleet. */

export type AccountName = string

/** What a quota counts. */
export const QuotaUnit = { REQUESTS: 'requests', TOKENS: 'tokens' } as const
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit]

/** Limit on the requests of an account, over all hosts together. */
export interface AccountQuota {
  /** Units per second. */
  readonly ratePerSecond: number
  /** Units that may be used at once after a time without requests. */
  readonly burst: number
  readonly unit: QuotaUnit
  /** Units of a request that does not state its tokens, if tokens are counted. */
  readonly plainUnits: number
}

export interface Account {
  readonly name: AccountName
  /** SHA-256 of each key, in lower-case hexadecimal. */
  readonly keyDigests: readonly string[]
  /** Replaces the priority of the route. */
  readonly priority?: number
  /** Absent if the account is not limited. */
  readonly quota?: AccountQuota
}

/** What leads from the accounts of one route table to those of a later one. */
export interface AccountChanges {
  /** Accounts that were added or changed. */
  readonly set: readonly Account[]
  readonly removed: readonly AccountName[]
}
