/**
 * Quotas on core hosts. Entry hosts report what their accounts asked for and were admitted; the leader, the only one that acts,
 * tells them at intervals which accounts are limited and what share of their units may be admitted.
 */
import type { DurationMs, HostId, MonotonicMs, RouteTable } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'
import { MIN_QUOTAS_INTERVAL_MS, QUOTAS_INTERVAL_MS } from './constants.ts'
import { createQuotaController } from './quotaController.ts'
import type { AccountTotals, LimitChange, QuotaController } from './quotaController.ts'

type UsageMessage = Extract<FleetMessage, { kind: 'fleet.use' }>

export interface QuotasOptions {
  /** Undefined unless this host leads. */
  readonly getLeaderTerm: () => number | undefined
  /** The route table in force. */
  readonly getRoutes: () => RouteTable | undefined
  /** Live entry hosts and when each was last heard from. */
  readonly listEntryHosts: (now: MonotonicMs) => ReadonlyArray<{ readonly host: HostId, readonly heardAt: MonotonicMs }>
  /** For how long what a silent host may admit is counted; undefined for the usual time. */
  readonly silentHostRetentionMs?: DurationMs
}

export interface Quotas extends System<UsageMessage> {
  readonly getNextAt: () => MonotonicMs
  /** Units since the last call by account, for metrics; empty unless this host leads. */
  readonly takeTotals: () => readonly AccountTotals[]
}

interface QuotasState {
  readonly opts: QuotasOptions
  readonly controller: QuotaController
  term: number | undefined
  /** Route table whose accounts are in force. */
  table: RouteTable | undefined
  sentAt: MonotonicMs
  hasSent: boolean
}

function getNextAt ({ term, controller, sentAt }: QuotasState): MonotonicMs {
  if (term === undefined || !controller.hasQuotas()) return Infinity
  return sentAt + (controller.isUrgent() ? MIN_QUOTAS_INTERVAL_MS : QUOTAS_INTERVAL_MS)
}

function updateLeadership (state: QuotasState, now: MonotonicMs): void {
  const term = state.opts.getLeaderTerm()
  if (term === state.term) return
  state.term = term
  state.hasSent = false
  state.sentAt = Number.NEGATIVE_INFINITY
  if (term !== undefined) state.controller.begin(now)
}

function reportChange ({ account, isLimited, share, ratePerSecond, demand }: LimitChange, term: number, { emit }: RunContext): void {
  emit({ kind: 'log', level: 'info', message: isLimited ? 'account is limited' : 'account is no longer limited', fields: { step: 'quota', account, share, ratePerSecond, demand, term } })
}

function run (state: QuotasState, context: RunContext): void {
  const { opts, controller } = state
  const { now } = context
  updateLeadership(state, now)
  const { term } = state
  if (term === undefined) return
  const table = opts.getRoutes()
  if (table !== state.table) {
    state.table = table
    controller.setAccounts(table?.accounts ?? [])
  }
  if (!controller.hasQuotas() && !state.hasSent) return
  if (controller.hasQuotas() && now < getNextAt(state)) return
  const hosts = opts.listEntryHosts(now)
  const { rows, isPartial, changes } = controller.update({ heard: hosts.map(({ host, heardAt }) => [host, heardAt]), silentHostRetentionMs: opts.silentHostRetentionMs }, now)
  for (const change of changes) reportChange(change, term, context)
  state.sentAt = now
  state.hasSent = controller.hasQuotas()
  if (rows === undefined) return
  const message: FleetMessage = { kind: 'fleet.quotas', term, rows, ...(isPartial ? { isPartial: true as const } : {}) }
  for (const { host } of hosts) context.send(host, message)
}

/** Creates the quotas of one core host. */
export function createQuotas (opts: QuotasOptions): Quotas {
  const state: QuotasState = { opts, controller: createQuotaController(), term: undefined, table: undefined, sentAt: Number.NEGATIVE_INFINITY, hasSent: false }
  return {
    receive: (from, { accounts, accountsOverMs }, { now }) => {
      // A host that stops leading for a moment goes on counting, since it may lead again with the same reports.
      if (accounts !== undefined && state.controller.hasQuotas()) state.controller.receive(from, { rows: accounts, overMs: accountsOverMs }, now)
    },
    run: context => run(state, context),
    getNextAt: () => getNextAt(state),
    takeTotals: () => state.term === undefined ? [] : state.controller.takeTotals()
  }
}
