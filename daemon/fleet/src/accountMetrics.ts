/** Metrics of accounts with a quota, kept by the leader: units asked for, admitted and refused, and the shares of limited accounts. */
import type { AccountTotals } from '@catkinferry/accounts.quotas'
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { AccountName } from '@catkinferry/core.types'

export interface AccountMetrics {
  /** Adds the units counted since the last call; accounts without a share are not limited any more. */
  readonly update: (totals: readonly AccountTotals[]) => void
}

/** Creates metrics without accounts. */
export function createAccountMetrics (page: Pick<MetricsPage, 'count' | 'set' | 'remove'>): AccountMetrics {
  const limited = new Set<AccountName>()
  return {
    update: totals => {
      const before = new Set(limited)
      limited.clear()
      for (const { account, asked, admitted, share } of totals) {
        page.count('account_units_asked', { account }, asked)
        page.count('account_units_admitted', { account }, admitted)
        page.count('account_units_refused', { account }, asked - admitted)
        if (share === undefined) continue
        limited.add(account)
        page.set('account_share', share, { account })
      }
      for (const account of before) if (!limited.has(account)) page.remove('account_share', { account })
    }
  }
}
