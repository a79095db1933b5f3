/** Plans the share of a zone's requests that may go to each other zone, from the load figures of all zones. Used by the zone choice. */
import type { DurationMs, ZoneId } from '@catkinferry/core.types'
import { EXCESS_FRACTION_PER_STEP, FULL_STEP_DOWN_FACTOR, FULL_UTILISATION, MAX_FIGURES_AGE_MS, MAX_SHARE, MAX_STEP, MIN_SHARE, PLAN_ABOVE_UTILISATION, PLAN_UNTIL_UTILISATION, RECEIVE_UNTIL_UTILISATION, SPARE_FRACTION_PER_STEP, START_MARGIN_MS, STEP_DOWN_FACTOR, STOP_MARGIN_MS, WAIT_FROM_UTILISATION } from './constants.ts'
import { computeTransferCost } from './transferCost.ts'
import { PlanMode } from './types.ts'
import type { ZoneFigures, ZoneUpdate } from './types.ts'

export interface PlannedZone extends ZoneFigures {
  readonly utilisation: number
  readonly waitMs: DurationMs
  /** Whether it may receive requests; false from full use until it has spare capacity again. */
  readonly canSpare: boolean
}

/** Estimates the wait in a zone, and whether it may receive requests. `couldSpare`: whether it could by the figures before. */
export function estimateZone (figures: ZoneFigures, couldSpare: boolean): PlannedZone {
  const utilisation = figures.inFlight / Math.max(1, figures.slots)
  const waitMs = Math.max(0, utilisation - WAIT_FROM_UTILISATION) * figures.runMs / figures.speed
  return { ...figures, utilisation, waitMs, canSpare: utilisation < (couldSpare ? FULL_UTILISATION : RECEIVE_UNTIL_UTILISATION) }
}

/** Decides whether shares are planned: figures of this and another zone are recent, and some zone lacks spare capacity. */
export function choosePlanMode (figures: readonly ZoneFigures[], own: ZoneId, mode: PlanMode): PlanMode {
  const hasOwn = figures.some(({ zone }) => zone === own)
  const isRecent = figures.every(({ ageMs }) => ageMs !== undefined && ageMs <= MAX_FIGURES_AGE_MS)
  if (figures.length < 2 || !hasOwn || !isRecent) return PlanMode.UNKNOWN
  const limit = mode === PlanMode.SHARES ? PLAN_UNTIL_UTILISATION : PLAN_ABOVE_UTILISATION
  return figures.some(({ inFlight, slots }) => inFlight >= limit * slots) ? PlanMode.SHARES : PlanMode.SPARE
}

function countExcess ({ inFlight, slots }: PlannedZone): number {
  return Math.max(0, inFlight - RECEIVE_UNTIL_UTILISATION * slots)
}

export interface StepOptions {
  readonly zones: readonly PlannedZone[]
  readonly own: PlannedZone
  readonly shares: ReadonlyMap<ZoneId, number>
  readonly usual: ZoneUpdate['usual']
}

interface Receiver {
  readonly zone: PlannedZone
  readonly costMs: DurationMs
  readonly savedMs: DurationMs
}

function listReceivers ({ zones, own, usual }: StepOptions): Receiver[] {
  return zones.filter(({ zone }) => zone !== own.zone).map(zone => {
    const costMs = zone.waitMs + computeTransferCost({ ...usual, isSameRegion: zone.region === own.region })
    return { zone, costMs, savedMs: own.waitMs - costMs }
  }).sort((a, b) => a.costMs - b.costMs)
}

/** Own utilisation above which leaving for a zone at this cost is worthwhile, between the two margins. */
function computeOwnTarget ({ runMs, speed }: PlannedZone, costMs: DurationMs): number {
  return WAIT_FROM_UTILISATION + (costMs + (START_MARGIN_MS + STOP_MARGIN_MS) / 2) * speed / Math.max(1, runMs)
}

/** Requests in flight that the zone could take beside those it has, for senders in proportion to their excess; negative if it has too many. */
function countSpare ({ zones, own }: StepOptions, { slots, inFlight, speed }: PlannedZone): number {
  const totalExcess = zones.reduce((sum, zone) => sum + countExcess(zone), 0)
  const ownPart = totalExcess === 0 ? 0 : countExcess(own) / totalExcess
  return (RECEIVE_UNTIL_UTILISATION * slots - inFlight) * speed / own.speed * ownPart
}

/**
 * Computes the shares after one step: more while leaving saves enough and others can spare, less while it does not. The
 * cheapest zones come first. A zone that can spare capacity may be receiving, so it sends nothing more itself.
 */
export function computeShares (opts: StepOptions): Map<ZoneId, number> {
  const { own, shares } = opts
  let total = [...shares.values()].reduce((sum, share) => sum + share, 0)
  /** Requests of this zone that run at once, here and elsewhere; those that wait here do not count. */
  const demand = Math.max(1, Math.min(own.inFlight, own.slots) / (1 - Math.min(MAX_SHARE, total)))
  let stepLeft = MAX_STEP
  const next = new Map<ZoneId, number>()

  function computeShare ({ zone, costMs, savedMs }: Receiver, share: number): number {
    if (!zone.canSpare) return share * FULL_STEP_DOWN_FACTOR
    if (savedMs < STOP_MARGIN_MS || own.canSpare) return share * STEP_DOWN_FACTOR
    const spare = countSpare(opts, zone) * SPARE_FRACTION_PER_STEP / demand
    if (spare <= 0) return Math.max(share * STEP_DOWN_FACTOR, share + spare)
    const excess = (1 - total) * Math.max(0, 1 - computeOwnTarget(own, costMs) / own.utilisation) * EXCESS_FRACTION_PER_STEP
    return share + (savedMs > START_MARGIN_MS ? Math.max(0, Math.min(stepLeft, excess, spare, MAX_SHARE - total)) : 0)
  }

  for (const receiver of listReceivers(opts)) {
    const { zone: { zone } } = receiver
    const share = shares.get(zone) ?? 0
    const stepped = computeShare(receiver, share)
    const kept = stepped >= MIN_SHARE ? stepped : 0
    stepLeft -= Math.max(0, kept - share)
    total += kept - share
    if (kept > 0) next.set(zone, kept)
  }
  return next
}
