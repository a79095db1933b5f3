import { listKeys, parsePath, renderSettingsPage, validateValues } from '@catkinferry/settings.schema'
import { expect } from 'earl'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'

describe('listKeys', () => {
  it('returns each key once, with a default that its own rule accepts', () => {
    const rows = listKeys()
    expect(new Set(rows.map(row => row.key)).size).toEqual(rows.length)
    for (const row of rows) {
      if (row.defaultValue !== undefined) expect(row.type.safeParse(row.defaultValue).success).toEqual(true)
    }
  })
})

describe('parsePath', () => {
  it('returns the tree, level and segments of a path', () => {
    expect(parsePath('fleet/marmara/marmara-a')).toEqual({ tree: 'fleet', level: 'zone', segments: ['fleet', 'marmara', 'marmara-a'] })
    expect(parsePath('models/m/a/v1')).toEqual({ tree: 'models', level: 'version', segments: ['models', 'm', 'a', 'v1'] })
  })

  it('refuses unknown roots, too many segments and invalid segments', () => {
    for (const path of ['', 'other', 'models/m/a/v/x', 'fleet/a/b/c/d/e', 'fleet//b', 'models/m/a@v', 'models/m/__proto__', 'fleet/' + 'x'.repeat(129)]) {
      expect(typeof parsePath(path)).toEqual('string')
    }
  })
})

describe('validateValues', () => {
  it('reports unknown keys, a key at a wrong level and an invalid value together, each with path, key and reason', () => {
    const problems = validateValues({ path: 'fleet/marmara/marmara-a/r1', values: { 'queue.limits': 3, 'zone.leaseMs': 900, 'queue.limit': -1 }, unset: ['nothing'] })
    expect(problems.map(({ path, key }) => `${path} ${key}`)).toEqual([
      'fleet/marmara/marmara-a/r1 queue.limits',
      'fleet/marmara/marmara-a/r1 zone.leaseMs',
      'fleet/marmara/marmara-a/r1 queue.limit',
      'fleet/marmara/marmara-a/r1 nothing'
    ])
    expect(problems.every(({ reason }) => reason.length > 0)).toEqual(true)
  })

  it('accepts a value inside its bounds and refuses one outside', () => {
    expect(validateValues({ path: 'fleet', values: { 'zone.leaseMs': 3_000 } })).toEqual([])
    expect(validateValues({ path: 'fleet', values: { 'zone.leaseMs': 3_001 } }).length).toEqual(1)
    expect(validateValues({ path: 'models/m/a', values: { inForce: 'v1' } })).toEqual([])
    expect(validateValues({ path: 'models/m', values: { inForce: 'v1' } }).length).toEqual(1)
  })
})

describe('docs/SETTINGS.md', () => {
  it('equals the output of npm run docs:settings', () => {
    expect(readFileSync(new URL('../../../docs/SETTINGS.md', import.meta.url), 'utf8')).toEqual(renderSettingsPage())
  })
})
