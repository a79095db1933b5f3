/**
 * Decides for each request which zones it may go to, and at which cost. Both gateways keep one for each pool: they pass the
 * figures of all zones at intervals, ask for the costs of each request, and record where it was sent.
 */
import type { DurationMs, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import { HELD_COST_MS, MAX_STEPS_AT_ONCE, NO_SPARE_COST_MS, SENT_SMOOTHING_FACTOR, STEP_INTERVAL_MS } from './constants.ts'
import { computeTransferCost, getConstantCost } from './transferCost.ts'
import { PlanMode } from './types.ts'
import type { CostRequest, ZoneChoice, ZoneCosts, ZoneLocation, ZoneUpdate } from './types.ts'
import { choosePlanMode, estimateZone, computeShares } from './zonePlan.ts'
import type { PlannedZone } from './zonePlan.ts'

export interface ZoneChoiceOptions {
  readonly location: ZoneLocation
  /** Random number from 0 to 1, drawn when shares begin: hosts take their steps and their turns to leave at different times. */
  readonly nextFraction: () => number
}

/** Mean share of the requests that were sent to each other zone. */
interface SentShares {
  readonly record: (zone: ZoneId) => void
  readonly get: () => ReadonlyMap<ZoneId, number>
}

function createSentShares (own: ZoneId): SentShares {
  const shares = new Map<ZoneId, number>()
  return {
    get: () => new Map(shares),
    record: zone => {
      if (zone !== own && !shares.has(zone)) shares.set(zone, 0)
      for (const [other, share] of shares) shares.set(other, share + (Number(other === zone) - share) * SENT_SMOOTHING_FACTOR)
    }
  }
}

/** Creates a choice without figures: the costs are constants. */
export function createZoneChoice ({ location, nextFraction }: ZoneChoiceOptions): ZoneChoice {
  let mode: PlanMode = PlanMode.UNKNOWN
  let zones: ReadonlyMap<ZoneId, PlannedZone> = new Map()
  let shares: ReadonlyMap<ZoneId, number> = new Map()
  let steppedAt: MonotonicMs = 0
  let phase = 0
  /** For each zone with a share, the turns to leave for it: requests seen times the share, less those sent. */
  const credits = new Map<ZoneId, number>()
  const sent = createSentShares(location.zone)
  const constantCosts: ZoneCosts = { getCostMs: other => getConstantCost(other, location) }

  /** Begins with the shares that leave by the constants, so that not all of that returns at once. */
  function beginShares (now: MonotonicMs): void {
    shares = sent.get()
    phase = nextFraction()
    steppedAt = now - phase * STEP_INTERVAL_MS
  }

  function takeSteps ({ usual, now }: ZoneUpdate, own: PlannedZone): void {
    const due = Math.min(MAX_STEPS_AT_ONCE, Math.floor((now - steppedAt) / STEP_INTERVAL_MS))
    if (due > 0) steppedAt = now
    const rows = [...zones.values()]
    for (let step = 0; step < due; step += 1) shares = computeShares({ zones: rows, own, shares, usual })
  }

  /** Whether it is this request's turn to leave for the zone. */
  function hasTurn (zone: ZoneId): boolean {
    return (credits.get(zone) ?? 0) >= 1
  }

  function addCredits (): void {
    for (const [zone, share] of shares) credits.set(zone, Math.min(1 + share, (credits.get(zone) ?? phase) + share))
  }

  function computePlannedCost (request: CostRequest, other: ZoneLocation, mayLeave: boolean): DurationMs {
    const zone = zones.get(other.zone)
    // A request whose turn it is leaves where that saves waiting, by what is known of the zones.
    if (other.zone === location.zone) return mayLeave ? zone?.waitMs ?? 0 : 0
    if (isLinkFull(request, other)) return NO_SPARE_COST_MS
    const transferMs = computeTransferCost({ ...request, isSameRegion: other.region === location.region })
    if (hasTurn(other.zone)) return transferMs + (zone?.waitMs ?? 0)
    return zone?.canSpare === false ? NO_SPARE_COST_MS : transferMs + HELD_COST_MS
  }

  function isLinkFull ({ hasRoom }: CostRequest, { region }: ZoneLocation): boolean {
    return region !== location.region && !hasRoom(region)
  }

  /** Costs by zone, computed for the first endpoint of each. */
  function createCosts (compute: (other: ZoneLocation) => DurationMs): ZoneCosts {
    const costs = new Map<ZoneId, DurationMs>()
    return {
      getCostMs: other => {
        const known = costs.get(other.zone)
        if (known !== undefined) return known
        const costMs = compute(other)
        costs.set(other.zone, costMs)
        return costMs
      }
    }
  }

  return {
    update: update => {
      const nextMode = choosePlanMode(update.figures, location.zone, mode)
      zones = new Map(update.figures.map(row => [row.zone, estimateZone(row, zones.get(row.zone)?.canSpare ?? true)]))
      const own = zones.get(location.zone)
      if (nextMode !== PlanMode.SHARES || own === undefined) shares = new Map()
      else {
        if (mode !== PlanMode.SHARES) beginShares(update.now)
        takeSteps(update, own)
      }
      for (const zone of credits.keys()) if (!shares.has(zone)) credits.delete(zone)
      mode = nextMode
    },
    getCosts: request => {
      if (mode === PlanMode.UNKNOWN) return constantCosts
      if (mode === PlanMode.SPARE) return createCosts(other => isLinkFull(request, other) ? NO_SPARE_COST_MS : getConstantCost(other, location))
      addCredits()
      const mayLeave = [...shares.keys()].some(hasTurn)
      return createCosts(other => computePlannedCost(request, other, mayLeave))
    },
    recordSent: zone => {
      if (hasTurn(zone)) credits.set(zone, (credits.get(zone) ?? 0) - 1)
      sent.record(zone)
    },
    getMode: () => mode,
    getShare: zone => mode === PlanMode.SHARES ? shares.get(zone) ?? 0 : undefined
  }
}
