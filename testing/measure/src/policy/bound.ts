/**
 * Lower bound on adapter loads for the policy experiment, computed with all arrivals known in advance: for each region,
 * the fewest loads with which each arrival finds its adapter resident in some slot, by evicting the adapter that is
 * needed furthest in the future (Belady's algorithm). Runs hold no slot after their arrival and restarts evict nothing,
 * so no policy that serves the arrivals in order within the region can need fewer loads.
 */
import type { Deployment } from './deployments.ts'
import type { Arrival, Workload } from './workload.ts'
import { WARM_UP_MS } from './workload.ts'

export interface BoundResults {
  readonly loads: number
  readonly stallMsTotal: number
}

function findNextUses (arrivals: readonly Arrival[]): number[] {
  const nextIndexByAdapter = new Map<string, number>()
  const next = new Array<number>(arrivals.length).fill(Infinity)
  for (let index = arrivals.length - 1; index >= 0; index -= 1) {
    const adapter = arrivals[index]?.adapter ?? ''
    next[index] = nextIndexByAdapter.get(adapter) ?? Infinity
    nextIndexByAdapter.set(adapter, index)
  }
  return next
}

function countMisses (arrivals: readonly Arrival[], slots: number): number {
  const nextUses = findNextUses(arrivals)
  const resident = new Map<string, number>()
  let misses = 0
  arrivals.forEach(({ adapter, at }, index) => {
    const nextUse = nextUses[index] ?? Infinity
    if (!resident.has(adapter)) {
      if (at >= WARM_UP_MS) misses += 1
      if (resident.size >= slots) {
        const [furthest] = [...resident].reduce((a, b) => b[1] > a[1] ? b : a)
        resident.delete(furthest)
      }
    }
    resident.set(adapter, nextUse)
  })
  return misses
}

/** Computes the bound; its stall time is one load at full speed per miss. */
export function computeBound (deployment: Deployment, workload: Workload): BoundResults {
  let loads = 0
  for (const region of new Set(deployment.zones.map(zone => zone.region))) {
    const zones = deployment.zones.filter(zone => zone.region === region)
    const names = new Set(zones.map(({ zone }) => zone))
    const engines = zones.reduce((sum, zone) => sum + zone.engines, 0)
    loads += countMisses(workload.arrivals.filter(({ zone }) => names.has(zone)), engines * deployment.slotsPerEngine)
  }
  return { loads, stallMsTotal: loads * deployment.store.loadMs }
}
