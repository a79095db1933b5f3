import { createMetricsPage } from '@catkinferry/core.metrics-page'
import { expect } from 'earl'
import { describe, it } from 'node:test'

describe('createMetricsPage', () => {
  const page = createMetricsPage({ prefix: 'p_', rows: { done: { type: 'counter', help: 'Done', labels: ['how'] }, level: { type: 'gauge', help: 'Level' }, took_ms: { type: 'histogram', help: 'Took' } } })

  it('renders counters, gauges and histograms with prefix and labels', async () => {
    page.count('done', { how: 'well' })
    page.set('level', 3)
    page.time('took_ms', 7)
    const text = await page.render()
    for (const line of ['p_done{how="well"} 1', 'p_level 3', 'p_took_ms_bucket{le="10"} 1', 'p_took_ms_bucket{le="5"} 0']) expect(text.includes(line)).toEqual(true)
  })

  it('refuses a name that is not in the table', () => {
    expect(() => page.count('other')).toThrow("the metric 'other' is not in the table")
  })
})
