/**
 * Adapter loads of an owned endpoint: chooses the next adapter, requests load budget from the lease holder, evicts if no slot
 * is free, orders the load and applies its result. Planned whenever the endpoint's state has changed or a timer is due.
 */
import { sortLoadCandidates } from '@catkinferry/adapters.load-scheduler'
import type { LoadCandidate } from '@catkinferry/adapters.load-scheduler'
import { chooseEviction, computeLoadValue } from '@catkinferry/adapters.residency'
import type { EvictionCandidate } from '@catkinferry/adapters.residency'
import type { AdapterKey, MonotonicMs, OrderOutcome } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState, LoadRow } from './endpointState.ts'
import { refuseWaiting } from './granting.ts'
import { getClassWeight } from './grantQueue.ts'
import { computeMovingAverage, markEndpoint, scheduleUpdate } from './grantsCore.ts'
import type { GrantsCore, OrderRow } from './grantsCore.ts'
import { isUncertain } from './inventory.ts'
import { mayOrder, sendOrder } from './orders.ts'

/** Maximum number of loads in progress at one endpoint. */
const MAX_LOADS_AT_ENDPOINT = 2
const BUDGET_RESEND_MS = 1_000
/** For the value of a load, waiting requests count as if they arrived evenly over this time. */
const WAITING_HORIZON_MS = 10_000
/** A request that has waited this long gets an unpinned adapter evicted, whatever the value of that adapter. */
const FORCED_EVICTION_AFTER_MS = 1_000
/** A request that has waited this long gets an adapter drained when all are pinned. */
const DRAIN_AFTER_MS = 1_500
const DRAINING_RETRY_MS = 250
const PREFETCH_WEIGHT = 0

/** Returns whether an adapter can be evicted without interrupting a running, granted or waiting request. */
export function isEvictable (state: EndpointState, adapterKey: AdapterKey): boolean {
  if (!state.slots.isResident(adapterKey) || state.pins.isPinned(adapterKey)) return false
  if (isUncertain(state.inventory, adapterKey)) return false
  if (state.queue.count(adapterKey) > 0 && state.draining !== adapterKey) return false
  const received = state.lastReport
  if (received === undefined) return false
  const lastEndAt = state.lastEndAt.get(adapterKey) ?? -Infinity
  return (received.report.running[adapterKey] ?? 0) === 0 || received.takenAt <= lastEndAt
}

function listLoadCandidates (core: GrantsCore, state: EndpointState, now: MonotonicMs): readonly LoadCandidate[] {
  const candidates: LoadCandidate[] = []
  for (const adapterKey of state.queue.listAdapters()) {
    const slot = state.slots.getState(adapterKey)
    if (slot !== undefined && slot !== 'gone') continue
    const first = state.queue.getFirst(adapterKey)
    if (first === undefined) continue
    candidates.push({
      adapterKey,
      bestRank: first.rank,
      waiting: state.queue.count(adapterKey),
      waitingSince: first.receivedAt,
      ratePerSecond: core.popularity.getRate(adapterKey, now)
    })
  }
  for (const adapterKey of state.warming) {
    const slot = state.slots.getState(adapterKey)
    if (slot !== undefined && slot !== 'gone') continue
    if (state.queue.count(adapterKey) > 0) continue
    candidates.push({ adapterKey, bestRank: Infinity, waiting: 0, waitingSince: now, ratePerSecond: core.popularity.getRate(adapterKey, now) })
  }
  return sortLoadCandidates(candidates)
}

function hasFreeSlot (state: EndpointState): boolean {
  return state.residencyKnown && state.slots.countUsed() < (state.lastReport?.report.slots ?? 0)
}

function chooseVictim (core: GrantsCore, state: EndpointState, candidate: LoadCandidate, now: MonotonicMs): AdapterKey | undefined {
  const evictable: EvictionCandidate[] = []
  for (const adapterKey of state.slots.listResident()) {
    if (isEvictable(state, adapterKey)) evictable.push({ adapterKey, ratePerSecond: core.popularity.getRate(adapterKey, now) })
  }
  const isOverdue = candidate.waiting > 0 && now - candidate.waitingSince >= FORCED_EVICTION_AFTER_MS
  const loadValue = computeLoadValue({ ratePerSecond: candidate.ratePerSecond, waiting: candidate.waiting, horizonMs: WAITING_HORIZON_MS, expectedLoadMs: state.expectedLoadMs })
  return chooseEviction({
    candidates: evictable,
    expectedLoadMs: state.expectedLoadMs,
    loadValue: isOverdue ? Infinity : loadValue,
    hysteresis: core.opts.getSettings().evictHysteresis
  })
}

function computeWeight (state: EndpointState, candidate: LoadCandidate): number {
  const first = state.queue.getFirst(candidate.adapterKey)
  if (first === undefined) return PREFETCH_WEIGHT
  return getClassWeight(first.serviceClass) + Math.min(0.9, candidate.waiting / 100)
}

function requestBudget (core: GrantsCore, load: LoadRow, context: RunContext): void {
  load.resendAt = context.now + BUDGET_RESEND_MS
  const holder = core.opts.getLeaseHolder()
  if (holder !== undefined) context.send(holder, { kind: 'budget.take', loadId: load.loadId, weight: load.weight })
}

function startLoad (core: GrantsCore, state: EndpointState, candidate: LoadCandidate, context: RunContext): void {
  const loadId = core.createId()
  const load: LoadRow = {
    loadId,
    adapterKey: candidate.adapterKey,
    step: 'asking',
    weight: computeWeight(state, candidate),
    requestedAt: context.now,
    resendAt: 0,
    givenUntil: -Infinity,
    sentAt: -Infinity,
    prefetch: candidate.waiting === 0
  }
  state.loads.set(candidate.adapterKey, load)
  core.loadEndpoints.set(loadId, state.owned.row.endpoint)
  requestBudget(core, load, context)
}

/** Ends a load and reports it to the lease holder, which frees its budget. */
export function finishLoad (core: GrantsCore, state: EndpointState, load: LoadRow, opts: { readonly ok: boolean, readonly tookMs: number }, context: RunContext): void {
  state.loads.delete(load.adapterKey)
  core.loadEndpoints.delete(load.loadId)
  const holder = core.opts.getLeaseHolder()
  if (holder !== undefined) context.send(holder, { kind: 'budget.done', loadId: load.loadId, ...opts })
}

/** Drops loads that still wait for budget and are no longer needed; resends the budget requests of the others when due. */
function dropUnwantedLoads (core: GrantsCore, state: EndpointState, context: RunContext): void {
  for (const load of [...state.loads.values()]) {
    if (load.step !== 'asking') continue
    const wanted = state.queue.count(load.adapterKey) > 0 || state.warming.includes(load.adapterKey)
    if (!wanted || state.slots.isResident(load.adapterKey)) finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
    else if (load.resendAt <= context.now) requestBudget(core, load, context)
    else scheduleUpdate(core, state, load.resendAt)
  }
}

/** Stops grants on the least valuable adapter when a request has waited long and no resident adapter can be evicted. */
function updateDraining (core: GrantsCore, state: EndpointState, candidate: LoadCandidate | undefined, context: RunContext): void {
  const { now } = context
  if (candidate === undefined || candidate.waiting === 0) {
    state.draining = undefined
    return
  }
  if (state.draining !== undefined && state.slots.isResident(state.draining)) return
  if (now - candidate.waitingSince < DRAIN_AFTER_MS) {
    scheduleUpdate(core, state, candidate.waitingSince + DRAIN_AFTER_MS)
    return
  }
  const resident = state.slots.listResident().map(adapterKey => ({ adapterKey, ratePerSecond: core.popularity.getRate(adapterKey, now) }))
  const loadValue = computeLoadValue({ ratePerSecond: candidate.ratePerSecond, waiting: candidate.waiting, horizonMs: WAITING_HORIZON_MS, expectedLoadMs: state.expectedLoadMs })
  const draining = chooseEviction({ candidates: resident, expectedLoadMs: state.expectedLoadMs, loadValue, hysteresis: core.opts.getSettings().evictHysteresis })
  state.draining = draining
  if (draining === undefined) return
  for (const request of state.queue.list(draining)) refuseWaiting(core, state, request, { reason: 'full', retryAfterMs: DRAINING_RETRY_MS }, context)
}

/** Plans the loads of an endpoint: requests budget where a slot is free or can be freed. */
export function planLoads (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  dropUnwantedLoads(core, state, context)
  if (!mayOrder(core, state, now)) {
    if (state.owned.orderAfter > now && state.queue.getSize() > 0) scheduleUpdate(core, state, state.owned.orderAfter)
    return
  }
  let blocked: LoadCandidate | undefined
  for (const candidate of listLoadCandidates(core, state, now)) {
    if (state.loads.size >= MAX_LOADS_AT_ENDPOINT) break
    if (candidate.waiting === 0 && state.loads.size > 0) break
    if (state.loads.has(candidate.adapterKey)) continue
    if (core.backoff.getWaitMs(state.owned.row.endpoint, candidate.adapterKey, now) > 0) continue
    if (hasFreeSlot(state) || chooseVictim(core, state, candidate, now) !== undefined) startLoad(core, state, candidate, context)
    else {
      blocked ??= candidate
      if (candidate.waiting > 0) scheduleUpdate(core, state, Math.max(now + 1, candidate.waitingSince + FORCED_EVICTION_AFTER_MS))
    }
  }
  updateDraining(core, state, blocked, context)
}

function sendLoad (core: GrantsCore, state: EndpointState, load: LoadRow, context: RunContext): void {
  load.step = 'loading'
  load.sentAt = context.now
  state.slots.setState(load.adapterKey, 'loading', context.now)
  sendOrder(core, state, { order: { kind: 'load', adapterKey: load.adapterKey }, purpose: 'load', adapterKey: load.adapterKey, loadId: load.loadId }, context)
  markEndpoint(core, state.owned.row.endpoint)
}

/** Handles the budget given for a load: orders the load, after an eviction if needed, or returns the budget. */
export function receiveBudgetGiven (core: GrantsCore, loadId: string, forMs: number, context: RunContext): void {
  const { now } = context
  const endpoint = core.loadEndpoints.get(loadId)
  const state = endpoint === undefined ? undefined : core.states.get(endpoint)
  const load = state === undefined ? undefined : [...state.loads.values()].find(row => row.loadId === loadId)
  if (state === undefined || load === undefined) {
    const holder = core.opts.getLeaseHolder()
    if (holder !== undefined) context.send(holder, { kind: 'budget.done', loadId, tookMs: 0, ok: false })
    return
  }
  if (load.step !== 'asking') return
  load.givenUntil = now + forMs
  const candidate = listLoadCandidates(core, state, now).find(({ adapterKey }) => adapterKey === load.adapterKey)
  if (candidate === undefined || !mayOrder(core, state, now)) {
    finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
    return
  }
  if (hasFreeSlot(state)) {
    sendLoad(core, state, load, context)
    return
  }
  const victim = chooseVictim(core, state, candidate, now)
  if (victim === undefined) {
    finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
    markEndpoint(core, state.owned.row.endpoint)
    return
  }
  load.step = 'evicting'
  sendEvict(core, state, victim, loadId, context)
}

function sendEvict (core: GrantsCore, state: EndpointState, victim: AdapterKey, loadId: string, context: RunContext): void {
  state.slots.setState(victim, 'evicting', context.now)
  if (state.draining === victim) state.draining = undefined
  sendOrder(core, state, { order: { kind: 'evict', adapterKey: victim }, purpose: 'evict', adapterKey: victim, loadId }, context)
  markEndpoint(core, state.owned.row.endpoint)
}

/** Applies the result of an eviction and orders the load that waited for it. */
export function receiveEvictResult (core: GrantsCore, state: EndpointState, row: OrderRow, outcome: OrderOutcome, context: RunContext): void {
  const { now } = context
  const { adapterKey, loadId } = row
  if (adapterKey === undefined) return
  if (outcome.kind === 'done') state.slots.setState(adapterKey, 'gone', now)
  else if (outcome.kind === 'notSent' || outcome.kind === 'refusedFencing') state.slots.setState(adapterKey, 'resident', now)
  else state.slots.setState(adapterKey, 'unsettledEvict', now)
  state.lastEndAt.delete(adapterKey)
  const load = [...state.loads.values()].find(waiting => waiting.loadId === loadId)
  if (load === undefined || load.step !== 'evicting') return
  if (outcome.kind === 'done' && load.givenUntil > now && mayOrder(core, state, now)) sendLoad(core, state, load, context)
  else finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
}

/** Applies the result of a load order. */
export function receiveLoadResult (core: GrantsCore, state: EndpointState, row: OrderRow, outcome: OrderOutcome, context: RunContext): void {
  const { now } = context
  const { adapterKey, loadId } = row
  const { endpoint } = state.owned.row
  if (adapterKey === undefined) return
  const load = [...state.loads.values()].find(sent => sent.loadId === loadId)
  const tookMs = load === undefined ? 0 : now - load.sentAt
  if (load !== undefined) finishLoad(core, state, load, { ok: outcome.kind === 'done', tookMs }, context)
  if (outcome.kind === 'done') {
    recordLoaded(core, state, adapterKey, load === undefined ? state.expectedLoadMs : now - load.requestedAt, now)
    return
  }
  const settled = outcome.kind === 'notSent' || outcome.kind === 'refusedFencing'
  state.slots.setState(adapterKey, settled ? 'gone' : 'unsettledLoad', now)
  if (outcome.kind !== 'failed') return
  state.slots.setState(adapterKey, 'gone', now)
  const retryAfterMs = core.backoff.recordFailure(endpoint, adapterKey, now)
  state.warming = state.warming.filter(key => key !== adapterKey)
  for (const request of state.queue.list(adapterKey)) refuseWaiting(core, state, request, { reason: 'loadFailed', retryAfterMs }, context)
}

function recordLoaded (core: GrantsCore, state: EndpointState, adapterKey: AdapterKey, tookMs: number, now: MonotonicMs): void {
  state.slots.setState(adapterKey, 'resident', now)
  state.inventory?.cleared.add(adapterKey)
  state.expectedLoadMs = computeMovingAverage(state.expectedLoadMs, tookMs)
  state.warming = state.warming.filter(key => key !== adapterKey)
  core.backoff.recordSuccess(state.owned.row.endpoint, adapterKey)
}
