import { expect } from 'earl'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { FLEET_METRICS, METRICS_PREFIX } from '../src/fleetMetrics.ts'

describe('the operations page', () => {
  const page = readFileSync(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')

  it('lists every metric with its type and meaning', () => {
    const missing = Object.entries(FLEET_METRICS).filter(([name, { type, help }]) => !page.includes(`| \`${METRICS_PREFIX}${name}\` | ${type} | ${help}`))
    expect(missing.map(([name]) => name)).toEqual([])
  })
})
