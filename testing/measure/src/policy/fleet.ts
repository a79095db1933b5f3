/** Engines, weight store and result recorder that every policy of the policy experiment runs on. */
import { createEngine } from './engine.ts'
import type { Engine } from './engine.ts'
import type { Deployment } from './deployments.ts'
import { createRecorder } from './results.ts'
import type { Recorder } from './results.ts'
import { createStore } from './store.ts'
import { createVirtualTime } from './virtualTime.ts'
import type { VirtualTime } from './virtualTime.ts'
import type { Workload } from './workload.ts'
import { ARRIVALS_END_MS, WARM_UP_MS } from './workload.ts'

export interface SimFleet {
  readonly time: VirtualTime
  readonly engines: readonly Engine[]
  readonly recorder: Recorder
  /** True while the zone is partitioned from all others. */
  readonly isPartitioned: (zone: string) => boolean
}

/** Creates empty engines and schedules their restarts. */
export function createSimFleet (deployment: Deployment, workload: Workload): SimFleet {
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
  for (const { at, engine } of workload.faults.restarts) time.scheduleAt(at, () => engines[engine]?.restart())
  const { partition } = workload.faults
  return {
    time,
    engines,
    recorder: createRecorder(),
    isPartitioned: zone => zone === partition.zone && time.getNow() >= partition.from && time.getNow() < partition.until
  }
}

/** Computes how long, in ms, a request waited while its adapter was not resident on the engine that then ran it. */
export function computeStall (opts: { readonly arrivedAt: number, readonly startedAt: number, readonly residentSince: number | undefined }): number {
  const residentSince = opts.residentSince ?? opts.startedAt
  return Math.max(0, Math.min(residentSince, opts.startedAt) - opts.arrivedAt)
}
