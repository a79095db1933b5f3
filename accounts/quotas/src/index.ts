/** Quotas of accounts over all entry hosts: the meter of an entry host and the controller of the leader. */
export * from './constants.ts'
export { createQuotaMeter } from './quotaMeter.ts'
export type { QuotaDecision, QuotaMeter, QuotaMeterOptions, UsageReport, UsageRow } from './quotaMeter.ts'
export { createQuotaController } from './quotaController.ts'
export type { AccountTotals, HostContact, LimitChange, QuotaController, QuotaReport, QuotaUpdate } from './quotaController.ts'
export type { QuotaRow } from './publishedShares.ts'
export { createQuotas } from './quotas.ts'
export type { Quotas, QuotasOptions } from './quotas.ts'
