import { expect } from 'earl'
import { describe, it } from 'node:test'
import { buildRates, computeMaxNeverLoaded, listWanted, simulateDemand } from './adapterDemand.ts'
import type { AdapterDemand, DemandOutcome } from './adapterDemand.ts'

/**
 * Lasting overload: hundreds of adapters by a power law, of which the engines hold a few, and callers for more adapters than can be
 * loaded in time, so that some are refused all the while.
 */
const DEMAND = { seed: 1, durationMs: 24_000, engines: 8, slots: 4, modelLoadsPerSecond: 2, useMs: 300 }
const RATES = buildRates({ count: 400, perSecond: 100, exponent: 0.7 })

/** Callers served, and those served on time, compared with the order of loads that gives starved adapters no share. */
const MIN_SERVED_SHARE = 0.95

function checkServed (demand: AdapterDemand, outcome: DemandOutcome): void {
  const without = simulateDemand({ ...demand, starvedLoadShare: 0 })
  expect(outcome.served).toBeGreaterThanOrEqual(MIN_SERVED_SHARE * without.served)
  expect(outcome.onTime).toBeGreaterThanOrEqual(MIN_SERVED_SHARE * without.onTime)
}

function checkLoaded (outcome: DemandOutcome): void {
  const wanted = listWanted(outcome)
  expect(wanted.length).toBeGreaterThanOrEqual(10)
  expect(wanted.filter(({ served }) => served === 0).length).toBeLessThanOrEqual(computeMaxNeverLoaded(wanted.length))
}

describe('adapters that are asked for again and again in a lasting overload', () => {
  // Guards against refusing the callers of a rare adapter each time, since those of popular ones always go first.
  it('are not left never loaded because others have more callers', () => {
    const demand: AdapterDemand = { ...DEMAND, adapters: RATES.map(perSecond => ({ perSecond, priority: 1 })) }
    const outcome = simulateDemand(demand)
    checkLoaded(outcome)
    checkServed(demand, outcome)
  })

  // Guards against refusing the callers of a lower priority each time, since the higher one could use all loads.
  it('are not left never loaded because callers of a higher priority could use all loads', () => {
    const demand: AdapterDemand = { ...DEMAND, adapters: RATES.map((perSecond, index) => ({ perSecond, priority: index % 4 === 0 ? 0 : 1 })) }
    const outcome = simulateDemand(demand)
    checkLoaded(outcome)
    checkLoaded({ ...outcome, adapters: outcome.adapters.filter(({ priority }) => priority === 1) })
    checkServed(demand, outcome)
  })

  // Guards against keeping popular adapters in all slots for good, since one caller at a time is never worth an eviction.
  it('are not left never loaded because each adapter in a slot is asked for more often', () => {
    const adapters = Array.from({ length: 32 }, (_, index) => ({ perSecond: index < 12 ? 8 : 0.6, priority: 1 }))
    const demand: AdapterDemand = { ...DEMAND, engines: 4, slots: 3, useMs: 40, adapters }
    const outcome = simulateDemand(demand)
    checkLoaded(outcome)
    checkServed(demand, outcome)
  })
})
