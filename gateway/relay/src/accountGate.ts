/** What the relay asks of its host about client accounts. The entry host passes it in. */
import type { QuotaDecision } from '@catkinferry/accounts.quotas'
import type { Account, DurationMs } from '@catkinferry/core.types'

export interface AccountGate {
  /** Whether the route table was confirmed recently enough that its keys can be checked. */
  readonly isCurrent: () => boolean
  /** Whether the route table was confirmed so lately that a key it lacks is no key: an older table may lack one that was added since. Absent: as `isCurrent`. */
  readonly isRecent?: () => boolean
  /** Resolves once `isCurrent` is true, or after `maxMs`; at once if the table has not been current for longer than a moment. */
  readonly waitUntilCurrent: (maxMs: DurationMs) => Promise<void>
  /** Counts a request of an account against its quota, in units of the quota, and decides whether it is admitted. */
  readonly tryTake: (account: Account, units: number) => QuotaDecision
  /** Gives the units of an admitted request back that has not run and never will. */
  readonly giveBack: (account: Account, units: number) => void
}
