/**
 * A bound that knows the future: for each region, the fewest loads with which its slots can have every
 * adapter resident at its arrival, by evicting what is needed furthest in the future. Runs take no
 * slot beyond their arrival and restarts empty nothing, so that no policy that serves arrivals in order
 * inside the region can load less.
 */
import type { Deployment } from './deployments.ts'
import type { Arrival, Workload } from './workload.ts'
import { WARM_UP_MS } from './workload.ts'

export interface BoundFigures {
  readonly loads: number
  readonly stallMsTotal: number
}

function findNextUses (arrivals: readonly Arrival[]): number[] {
  const nextOf = new Map<string, number>()
  const next = new Array<number>(arrivals.length).fill(Infinity)
  for (let index = arrivals.length - 1; index >= 0; index -= 1) {
    const adapter = arrivals[index]?.adapter ?? ''
    next[index] = nextOf.get(adapter) ?? Infinity
    nextOf.set(adapter, index)
  }
  return next
}

function countFaults (arrivals: readonly Arrival[], slots: number): number {
  const nextUses = findNextUses(arrivals)
  const resident = new Map<string, number>()
  let faults = 0
  arrivals.forEach(({ adapter, at }, index) => {
    const nextUse = nextUses[index] ?? Infinity
    if (!resident.has(adapter)) {
      if (at >= WARM_UP_MS) faults += 1
      if (resident.size >= slots) {
        const [furthest] = [...resident].reduce((a, b) => b[1] > a[1] ? b : a)
        resident.delete(furthest)
      }
    }
    resident.set(adapter, nextUse)
  })
  return faults
}

/** Computes the bound; its stall counts one load at full speed for each fault. */
export function computeBound (deployment: Deployment, workload: Workload): BoundFigures {
  let loads = 0
  for (const region of new Set(deployment.zones.map(zone => zone.region))) {
    const zones = deployment.zones.filter(zone => zone.region === region)
    const names = new Set(zones.map(({ zone }) => zone))
    const engines = zones.reduce((sum, zone) => sum + zone.engines, 0)
    loads += countFaults(workload.arrivals.filter(({ zone }) => names.has(zone)), engines * deployment.slotsPerEngine)
  }
  return { loads, stallMsTotal: loads * deployment.store.loadMs }
}
