/**
 * Tells the relay and the readiness page of an entry host whether its route table was confirmed recently enough that callers'
 * keys can be checked against it, and requests confirmations. Needed only if the deployment bounds the time until a revoked
 * key is refused everywhere, and the route table has accounts; otherwise the table always counts as current.
 */
import { CONFIRMATION_MARGIN_MS, createRouteConfirmation, OTHER_HOSTS_AGE_MS } from '@catkinferry/accounts.confirmation'
import type { ClockReading, ConfirmedMessage, RouteConfirmation } from '@catkinferry/accounts.confirmation'
import type { Clock } from '@catkinferry/core.clock'
import type { DurationMs, HostId, MonotonicMs, RouteTable } from '@catkinferry/core.types'
import type { AccountGate } from '@catkinferry/gateway.relay'
import type { RunContext } from '@catkinferry/host.events'

export interface ConfirmationGateOptions {
  /** `revocationMs` of the settings. */
  readonly revocationMs: DurationMs | undefined
  /** First id of hellos; random. */
  readonly firstId: number
  /** The route table in force. */
  readonly getTable: () => RouteTable | undefined
  /** Sends hellos to all core hosts without waiting for their next turn. */
  readonly sendHellos: () => void
  readonly clock: Clock
}

export interface ConfirmationGate extends Pick<AccountGate, 'isCurrent' | 'waitUntilCurrent'> {
  /** Whether the table was confirmed within three intervals of hellos. */
  readonly isRecent: () => boolean
  /** The id of a hello that is sent now; undefined if it asks for no confirmation. */
  readonly createConfirmId: (to: HostId, isLeader: boolean, context: RunContext) => number | undefined
  readonly receive: (from: HostId, message: ConfirmedMessage, context: RunContext) => void
  readonly run: (context: RunContext) => void
  /** The process was paused. */
  readonly recordPause: (context: RunContext) => void
  /** Why the host cannot be ready; undefined if confirmations do not prevent it. */
  readonly findUnreadyReason: () => string | undefined
  /** Value of the metric: 0 if confirmation is not needed; before the first confirmation, the time since it is needed. */
  readonly getAgeMs: () => DurationMs
}

/** Requests wait for a confirmation only this long after the table became too old, as after a pause. Later, no answer is to be expected soon. */
const WAIT_WINDOW_MS = 1_000

/** Interval of hellos while requests wait for a confirmation, since one of them or its answer may be lost. */
const EXTRA_HELLO_INTERVAL_MS = 100

/** A gain of the wall clock on the monotonic clock of more than this between two runs counts as a suspension, the limit being that of a pause. */
const SUSPENSION_MS = 400

interface GateState {
  readonly opts: ConfirmationGateOptions
  readonly maxAgeMs: DurationMs
  readonly confirmation: RouteConfirmation
  /** Ends the wait of each request that waits for a confirmation. */
  readonly waiting: Set<() => void>
  /** When confirmation became needed; undefined while it is not. */
  neededSince: MonotonicMs | undefined
  /** Wall clock less monotonic clock at the last run. */
  lastClockOffset: number | undefined
  extraHellosAt: MonotonicMs
  /** What was last logged; undefined before the first line. */
  reportedCurrent: boolean | undefined
}

function isNeeded ({ opts }: GateState): boolean {
  return opts.revocationMs !== undefined && opts.getTable()?.accounts !== undefined
}

function readClocks ({ opts: { clock } }: GateState): ClockReading {
  return { now: clock.getMonotonicMs(), wallNow: clock.getWallMs() }
}

function isCurrent (state: GateState, at: ClockReading): boolean {
  return !isNeeded(state) || state.confirmation.isCurrent(at)
}

function requestHellos (state: GateState, now: MonotonicMs): void {
  if (now - state.extraHellosAt < EXTRA_HELLO_INTERVAL_MS) return
  state.extraHellosAt = now
  state.opts.sendHellos()
}

function resolveWaiting ({ waiting }: GateState): void {
  for (const resolve of waiting) resolve()
}

function resume (state: GateState, context: RunContext): void {
  state.confirmation.recordResume(context)
  state.extraHellosAt = context.now
  state.opts.sendHellos()
}

/** Whether the wall clock has gained on the monotonic clock since the last run. */
function checkSuspended (state: GateState, { now, wallNow }: ClockReading): boolean {
  const offset = wallNow - now
  const wasSuspended = offset - (state.lastClockOffset ?? offset) > SUSPENSION_MS
  state.lastClockOffset = offset
  return wasSuspended
}

/** Logs when the table becomes too old and when it is confirmed again. A host that was never confirmed is reported after a while. */
function reportChange (state: GateState, current: boolean, context: RunContext): void {
  const { opts, confirmation, maxAgeMs, reportedCurrent } = state
  if (current === reportedCurrent) return
  const outdatedSince = confirmation.getOutdatedSince(context) ?? context.now
  if (!current && reportedCurrent === undefined && context.now - outdatedSince < WAIT_WINDOW_MS) return
  const ageMs = confirmation.getAgeMs(context)
  const fields = { step: 'confirmation', routesVersion: opts.getTable()?.version, maxAgeMs, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined }
  if (current) context.emit({ kind: 'log', level: 'info', message: 'the route table is confirmed', fields })
  else context.emit({ kind: 'log', level: 'warn', message: 'the route table was not confirmed in time; requests with keys are not served', fields })
  state.reportedCurrent = current
}

function run (state: GateState, context: RunContext): void {
  const wasSuspended = checkSuspended(state, context)
  if (!isNeeded(state)) {
    state.neededSince = undefined
    state.reportedCurrent = undefined
    resolveWaiting(state)
    return
  }
  state.confirmation.setHeldVersion(state.opts.getTable()?.version ?? 0, context)
  if (state.neededSince === undefined || wasSuspended) resume(state, context)
  state.neededSince ??= context.now
  const current = state.confirmation.isCurrent(context)
  if (current) resolveWaiting(state)
  else if (state.waiting.size > 0) requestHellos(state, context.now)
  reportChange(state, current, context)
}

function waitUntilCurrent (state: GateState, maxMs: DurationMs): Promise<void> {
  const at = readClocks(state)
  const outdatedSince = isNeeded(state) ? state.confirmation.getOutdatedSince(at) : undefined
  if (outdatedSince === undefined || at.now - outdatedSince > WAIT_WINDOW_MS) return Promise.resolve()
  requestHellos(state, at.now)
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      state.waiting.delete(finish)
      resolve()
    }
    const timer = setTimeout(finish, maxMs)
    state.waiting.add(finish)
  })
}

function findUnreadyReason (state: GateState): string | undefined {
  const at = readClocks(state)
  if (isCurrent(state, at)) return undefined
  if (state.confirmation.getAgeMs(at) === Infinity) return 'no core host has confirmed the route table yet'
  const isAllPublic = state.opts.getTable()?.routes.every(({ isPublic }) => isPublic === true) === true
  return isAllPublic ? undefined : 'the route table was not confirmed in time'
}

function getReportedAgeMs (state: GateState): DurationMs {
  if (!isNeeded(state)) return 0
  const at = readClocks(state)
  const ageMs = state.confirmation.getAgeMs(at)
  return Math.round(Number.isFinite(ageMs) ? ageMs : at.now - (state.neededSince ?? at.now))
}

/** Creates the gate of a host that has just started. */
export function createConfirmationGate (opts: ConfirmationGateOptions): ConfirmationGate {
  const maxAgeMs = Math.max(0, (opts.revocationMs ?? 0) - CONFIRMATION_MARGIN_MS)
  const confirmation = createRouteConfirmation({ firstId: opts.firstId, maxAgeMs })
  const state: GateState = { opts, maxAgeMs, confirmation, waiting: new Set(), neededSince: undefined, lastClockOffset: undefined, extraHellosAt: Number.NEGATIVE_INFINITY, reportedCurrent: undefined }
  const otherHostsAgeMs = Math.min(OTHER_HOSTS_AGE_MS, maxAgeMs / 2)
  return {
    isCurrent: () => isCurrent(state, readClocks(state)),
    isRecent: () => !isNeeded(state) || confirmation.getAgeMs(readClocks(state)) <= otherHostsAgeMs,
    waitUntilCurrent: maxMs => waitUntilCurrent(state, maxMs),
    createConfirmId: (to, isLeader, context) => {
      const asks = isNeeded(state) && (isLeader || confirmation.getAgeMs(context) > otherHostsAgeMs)
      return asks ? confirmation.beginHello(to, context) : undefined
    },
    receive: confirmation.receive,
    run: context => run(state, context),
    recordPause: context => { if (isNeeded(state)) resume(state, context) },
    findUnreadyReason: () => findUnreadyReason(state),
    getAgeMs: () => getReportedAgeMs(state)
  }
}
