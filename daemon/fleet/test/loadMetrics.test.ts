import { createMetricsPage } from '@catkinferry/core.metrics-page'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { FLEET_METRICS, METRICS_PREFIX } from '../src/fleetMetrics.ts'
import { createLoadMetrics } from '../src/loadMetrics.ts'

describe('metrics of adapter loads', () => {
  it('count callers and loads, and fall back to 0 adapters when all are loaded', async () => {
    const page = createMetricsPage({ prefix: METRICS_PREFIX, rows: FLEET_METRICS })
    const metrics = createLoadMetrics(page)
    metrics.update({ requests: [{ outcome: 'overloaded', priority: 1, count: 3 }], loads: [{ cause: 'starved', count: 2 }], refusalsBeforeLoad: [4, 7], unloadedByPriority: new Map([[1, 5]]) })
    const first = await page.render()
    metrics.update({ requests: [], loads: [], refusalsBeforeLoad: [], unloadedByPriority: new Map() })
    const lines = [
      'catkinferry_adapter_requests{outcome="overloaded",priority="1"} 3',
      'catkinferry_adapter_loads{cause="starved"} 2',
      'catkinferry_adapter_refusals_before_load_count 2',
      'catkinferry_adapters_never_loaded{priority="1"} 5'
    ]
    expect(lines.filter(line => !first.includes(line))).toEqual([])
    expect((await page.render()).includes('catkinferry_adapters_never_loaded{priority="1"} 0')).toEqual(true)
  })
})
