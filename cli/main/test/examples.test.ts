import { validateValues } from '@catkinferry/settings.schema'
import { expect } from 'earl'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { parse } from 'yaml'

const EXAMPLES = join(import.meta.dirname, '../../../examples')

describe('example settings', () => {
  for (const deployment of ['tescil', 'aqaba']) {
    it(`have only keys and values that the schema accepts: ${deployment}`, () => {
      const nodes = parse(readFileSync(join(EXAMPLES, deployment, 'settings.yaml'), 'utf8')) as Record<string, Record<string, unknown>>
      expect(Object.keys(nodes).length).toEqual(2)
      expect(Object.entries(nodes).flatMap(([path, values]) => validateValues({ path, values }))).toEqual([])
    })
  }
})
