/** The engines and the store that every row runs on. */
import { createEngine } from './engine.ts'
import type { Engine } from './engine.ts'
import type { Deployment } from './deployments.ts'
import { createRecorder } from './figures.ts'
import type { Recorder } from './figures.ts'
import { createStore } from './store.ts'
import { createVirtualTime } from './virtualTime.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { Workload } from './workload.ts'
import { ARRIVALS_END_MS, WARM_UP_MS } from './workload.ts'

export interface Fleet {
  readonly time: VirtualTime
  readonly engines: readonly Engine[]
  readonly recorder: Recorder
  /** True while the zone is cut off from the others. */
  readonly isCut: (zone: string) => boolean
}

/** Creates idle engines and plans their restarts. */
export function createFleet (deployment: Deployment, workload: Workload): Fleet {
  const time = createVirtualTime()
  const store = createStore(time, deployment.store)
  const isCounted = (): boolean => time.getNow() >= WARM_UP_MS && time.getNow() < ARRIVALS_END_MS
  const engines: Engine[] = []
  for (const { zone, region, engines: count } of deployment.zones) {
    for (let number = 0; number < count; number += 1) {
      engines.push(createEngine({
        id: `${zone}-e${number}`, zone, region, slots: deployment.slotsPerEngine, batchLimit: deployment.batchLimit, time, store, isCounted
      }))
    }
  }
  for (const { at, engine } of workload.faults.restarts) time.at(at, () => engines[engine]?.restart())
  const { cut } = workload.faults
  return {
    time,
    engines,
    recorder: createRecorder(),
    isCut: zone => zone === cut.zone && time.getNow() >= cut.from && time.getNow() < cut.until
  }
}

/** Time that a request waited while its adapter was not resident where it then ran. */
export function computeStall (opts: { readonly arrivedAt: number, readonly startedAt: number, readonly residentSince: number | undefined }): number {
  const residentSince = opts.residentSince ?? opts.startedAt
  return Math.max(0, Math.min(residentSince, opts.startedAt) - opts.arrivedAt)
}
