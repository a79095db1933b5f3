/** Metrics of adapter loads, kept by the leader: what callers were told, loads begun, and adapters that are refused again and again. */
import type { MetricsPage } from '@catkinferry/core.metrics-page'
import type { Placement } from '@catkinferry/fleet.placement'

export interface LoadMetrics {
  readonly update: (totals: ReturnType<Placement['takeLoadCounts']>) => void
}

/** Creates metrics without counts. */
export function createLoadMetrics (page: Pick<MetricsPage, 'count' | 'set' | 'time'>): LoadMetrics {
  const priorities = new Set<number>()
  return {
    update: ({ requests, loads, refusalsBeforeLoad, unloadedByPriority }) => {
      for (const { outcome, priority, count } of requests) page.count('adapter_requests', { outcome, priority: String(priority) }, count)
      for (const { cause, count } of loads) page.count('adapter_loads', { cause }, count)
      for (const refusals of refusalsBeforeLoad) page.time('adapter_refusals_before_load', refusals)
      for (const priority of unloadedByPriority.keys()) priorities.add(priority)
      for (const priority of priorities) page.set('adapters_never_loaded', unloadedByPriority.get(priority) ?? 0, { priority: String(priority) })
    }
  }
}
