/** Loads at the owner: which adapter next, budget, room, order, and what follows from the result. */
import { sortLoadWishes } from '@catkinferry/adapters.load-scheduler'
import type { LoadWish } from '@catkinferry/adapters.load-scheduler'
import { chooseEviction, computeLoadValue } from '@catkinferry/adapters.residency'
import type { EvictionCandidate } from '@catkinferry/adapters.residency'
import type { AdapterKey, MonotonicMs, OrderOutcome } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { getClassWeight } from './askQueue.ts'
import type { EndpointState, LoadRow } from './endpointState.ts'
import { refuseWaiting } from './granting.ts'
import { computeSmoothed, markEndpoint, planVisit } from './grantsCore.ts'
import type { GrantsCore, OrderRow } from './grantsCore.ts'
import { isUncertain } from './inventory.ts'
import { mayOrder, sendOrder } from './orders.ts'

/** Loads at one engine at the same time. */
const MAX_LOADS_AT_ENDPOINT = 2
const TAKE_RESEND_MS = 1_000
/** Waiting asks count as if spread over this time. */
const WAITING_HORIZON_MS = 10_000
/** A wait this long has an unpinned adapter evicted whatever it is worth. */
const LONGEST_HOLD_MS = 1_000
/** A wait this long drains an adapter where all are pinned. */
const DRAIN_AFTER_MS = 1_500
const REFUSED_RETRY_MS = 250
const PREFETCH_WEIGHT = 0

/** Tells whether evicting an adapter can hurt nobody. */
export function isEvictable (state: EndpointState, adapterKey: AdapterKey): boolean {
  if (!state.slots.isResident(adapterKey) || state.pins.isPinned(adapterKey)) return false
  if (isUncertain(state.inventory, adapterKey)) return false
  if (state.queue.count(adapterKey) > 0 && state.draining !== adapterKey) return false
  const seen = state.seen
  if (seen === undefined) return false
  const lastEndAt = state.lastEndAt.get(adapterKey) ?? -Infinity
  return (seen.report.running[adapterKey] ?? 0) === 0 || seen.takenAt <= lastEndAt
}

function listWishes (core: GrantsCore, state: EndpointState, now: MonotonicMs): readonly LoadWish[] {
  const wishes: LoadWish[] = []
  for (const adapterKey of state.queue.listAdapters()) {
    const slot = state.slots.getState(adapterKey)
    if (slot !== undefined && slot !== 'gone') continue
    const first = state.queue.getFirst(adapterKey)
    if (first === undefined) continue
    wishes.push({
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
    wishes.push({ adapterKey, bestRank: Infinity, waiting: 0, waitingSince: now, ratePerSecond: core.popularity.getRate(adapterKey, now) })
  }
  return sortLoadWishes(wishes)
}

function hasFreeSlot (state: EndpointState): boolean {
  return state.residencyKnown && state.slots.countUsed() < (state.seen?.report.slots ?? 0)
}

function chooseVictim (core: GrantsCore, state: EndpointState, wish: LoadWish, now: MonotonicMs): AdapterKey | undefined {
  const candidates: EvictionCandidate[] = []
  for (const adapterKey of state.slots.listResident()) {
    if (isEvictable(state, adapterKey)) candidates.push({ adapterKey, ratePerSecond: core.popularity.getRate(adapterKey, now) })
  }
  const held = wish.waiting > 0 && now - wish.waitingSince >= LONGEST_HOLD_MS
  const loadValue = computeLoadValue({ ratePerSecond: wish.ratePerSecond, waiting: wish.waiting, horizonMs: WAITING_HORIZON_MS, expectedLoadMs: state.expectedLoadMs })
  return chooseEviction({
    candidates,
    expectedLoadMs: state.expectedLoadMs,
    loadValue: held ? Infinity : loadValue,
    hysteresis: core.opts.getSettings().evictHysteresis
  })
}

function computeWeight (state: EndpointState, wish: LoadWish): number {
  const first = state.queue.getFirst(wish.adapterKey)
  if (first === undefined) return PREFETCH_WEIGHT
  return getClassWeight(first.serviceClass) + Math.min(0.9, wish.waiting / 100)
}

function askBudget (core: GrantsCore, load: LoadRow, context: RunContext): void {
  load.resendAt = context.now + TAKE_RESEND_MS
  const holder = core.opts.getLeaseHolder()
  if (holder !== undefined) context.send(holder, { kind: 'budget.take', loadId: load.loadId, weight: load.weight })
}

function startLoad (core: GrantsCore, state: EndpointState, wish: LoadWish, context: RunContext): void {
  const loadId = core.createId()
  const load: LoadRow = {
    loadId,
    adapterKey: wish.adapterKey,
    step: 'asking',
    weight: computeWeight(state, wish),
    askedAt: context.now,
    resendAt: 0,
    givenUntil: -Infinity,
    sentAt: -Infinity,
    prefetch: wish.waiting === 0
  }
  state.loads.set(wish.adapterKey, load)
  core.loadEndpoints.set(loadId, state.owned.row.endpoint)
  askBudget(core, load, context)
}

/** Gives the budget back or reports the load's end. */
export function finishLoad (core: GrantsCore, state: EndpointState, load: LoadRow, opts: { readonly ok: boolean, readonly tookMs: number }, context: RunContext): void {
  state.loads.delete(load.adapterKey)
  core.loadEndpoints.delete(load.loadId)
  const holder = core.opts.getLeaseHolder()
  if (holder !== undefined) context.send(holder, { kind: 'budget.done', loadId: load.loadId, ...opts })
}

/** Drops loads whose waiting asks are gone and that have not been ordered yet. */
function dropUnwanted (core: GrantsCore, state: EndpointState, context: RunContext): void {
  for (const load of [...state.loads.values()]) {
    if (load.step !== 'asking') continue
    const wanted = state.queue.count(load.adapterKey) > 0 || state.warming.includes(load.adapterKey)
    if (!wanted || state.slots.isResident(load.adapterKey)) finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
    else if (load.resendAt <= context.now) askBudget(core, load, context)
    else planVisit(core, state, load.resendAt)
  }
}

/** Where every resident adapter is pinned and an ask waits long, stops granting the least used one. */
function updateDraining (core: GrantsCore, state: EndpointState, wish: LoadWish | undefined, context: RunContext): void {
  const { now } = context
  if (wish === undefined || wish.waiting === 0) {
    state.draining = undefined
    return
  }
  if (state.draining !== undefined && state.slots.isResident(state.draining)) return
  if (now - wish.waitingSince < DRAIN_AFTER_MS) {
    planVisit(core, state, wish.waitingSince + DRAIN_AFTER_MS)
    return
  }
  const resident = state.slots.listResident().map(adapterKey => ({ adapterKey, ratePerSecond: core.popularity.getRate(adapterKey, now) }))
  const loadValue = computeLoadValue({ ratePerSecond: wish.ratePerSecond, waiting: wish.waiting, horizonMs: WAITING_HORIZON_MS, expectedLoadMs: state.expectedLoadMs })
  const draining = chooseEviction({ candidates: resident, expectedLoadMs: state.expectedLoadMs, loadValue, hysteresis: core.opts.getSettings().evictHysteresis })
  state.draining = draining
  if (draining === undefined) return
  for (const ask of state.queue.list(draining)) refuseWaiting(core, state, ask, { reason: 'full', retryAfterMs: REFUSED_RETRY_MS }, context)
}

/** Plans the loads of an endpoint: asks for budget where a slot is or can be made free. */
export function planLoads (core: GrantsCore, state: EndpointState, context: RunContext): void {
  const { now } = context
  dropUnwanted(core, state, context)
  if (!mayOrder(core, state, now)) {
    if (state.owned.orderAfter > now && state.queue.getSize() > 0) planVisit(core, state, state.owned.orderAfter)
    return
  }
  let blocked: LoadWish | undefined
  for (const wish of listWishes(core, state, now)) {
    if (state.loads.size >= MAX_LOADS_AT_ENDPOINT) break
    if (wish.waiting === 0 && state.loads.size > 0) break
    if (state.loads.has(wish.adapterKey)) continue
    if (core.backoff.getWaitMs(state.owned.row.endpoint, wish.adapterKey, now) > 0) continue
    if (hasFreeSlot(state) || chooseVictim(core, state, wish, now) !== undefined) startLoad(core, state, wish, context)
    else {
      blocked ??= wish
      if (wish.waiting > 0) planVisit(core, state, Math.max(now + 1, wish.waitingSince + LONGEST_HOLD_MS))
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

/** The zone's budget allows a load: makes room if needed and orders it, or gives the budget back. */
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
  const wish = listWishes(core, state, now).find(({ adapterKey }) => adapterKey === load.adapterKey)
  if (wish === undefined || !mayOrder(core, state, now)) {
    finishLoad(core, state, load, { ok: false, tookMs: 0 }, context)
    return
  }
  if (hasFreeSlot(state)) {
    sendLoad(core, state, load, context)
    return
  }
  const victim = chooseVictim(core, state, wish, now)
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

/** The eviction that a load waited for has ended. */
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

/** A load order has ended. */
export function receiveLoadResult (core: GrantsCore, state: EndpointState, row: OrderRow, outcome: OrderOutcome, context: RunContext): void {
  const { now } = context
  const { adapterKey, loadId } = row
  const { endpoint } = state.owned.row
  if (adapterKey === undefined) return
  const load = [...state.loads.values()].find(sent => sent.loadId === loadId)
  const tookMs = load === undefined ? 0 : now - load.sentAt
  if (load !== undefined) finishLoad(core, state, load, { ok: outcome.kind === 'done', tookMs }, context)
  if (outcome.kind === 'done') {
    noteLoaded(core, state, adapterKey, load === undefined ? state.expectedLoadMs : now - load.askedAt, now)
    return
  }
  const settled = outcome.kind === 'notSent' || outcome.kind === 'refusedFencing'
  state.slots.setState(adapterKey, settled ? 'gone' : 'unsettledLoad', now)
  if (outcome.kind !== 'failed') return
  state.slots.setState(adapterKey, 'gone', now)
  const retryAfterMs = core.backoff.noteFailure(endpoint, adapterKey, now)
  state.warming = state.warming.filter(key => key !== adapterKey)
  for (const ask of state.queue.list(adapterKey)) refuseWaiting(core, state, ask, { reason: 'loadFailed', retryAfterMs }, context)
}

function noteLoaded (core: GrantsCore, state: EndpointState, adapterKey: AdapterKey, tookMs: number, now: MonotonicMs): void {
  state.slots.setState(adapterKey, 'resident', now)
  state.inventory?.cleared.add(adapterKey)
  state.expectedLoadMs = computeSmoothed(state.expectedLoadMs, tookMs)
  state.warming = state.warming.filter(key => key !== adapterKey)
  core.backoff.noteSuccess(state.owned.row.endpoint, adapterKey)
}
