import { expect } from 'earl'
import { describe, it } from 'node:test'
import { buildRates, simulateDemand } from './adapterDemand.ts'
import type { AdapterOutcome } from './adapterDemand.ts'

/** Thousands of adapters for few slots that are long in use, and callers of three priorities, of which the first two could use all loads. */
const RATES = buildRates({ count: 3_000, perSecond: 100, exponent: 0.6 })
const DEMAND = { seed: 1, durationMs: 24_000, engines: 13, slots: 5, modelLoadsPerSecond: 4, useMs: 1_300 }
const PRIORITIES = 3
/** Callers of each priority are served this often at least, compared with all callers. */
const MIN_RELATIVE_SHARE = 0.25

function computeServedShare (adapters: readonly AdapterOutcome[]): number {
  const served = adapters.reduce((sum, adapter) => sum + adapter.served, 0)
  return served / adapters.reduce((sum, { askedAt }) => sum + askedAt.length, 0)
}

describe('callers of the lowest priority in a lasting overload', () => {
  // Guards against an order of loads in which adapters of the lowest priority are never loaded.
  it('are served a quarter as often as all callers at least', () => {
    const { adapters } = simulateDemand({ ...DEMAND, adapters: RATES.map((perSecond, index) => ({ perSecond, priority: index % PRIORITIES })) })
    const lowest = adapters.filter(({ priority }) => priority === PRIORITIES - 1)
    expect(computeServedShare(lowest)).toBeGreaterThanOrEqual(MIN_RELATIVE_SHARE * computeServedShare(adapters))
  })
})
