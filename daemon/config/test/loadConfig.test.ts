import { expect } from 'earl'
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { loadConfig } from '../src/index.ts'
import type { Config } from '../src/index.ts'

const EXAMPLES = join(import.meta.dirname, '../../../examples')
const folder = mkdtempSync(join(tmpdir(), 'config-'))

function listProblems (text: string): string[] {
  const file = join(folder, 'host.yaml')
  writeFileSync(file, text)
  const result = loadConfig(file)
  return result.ok ? [] : result.problems.map(({ path, reason }) => `${path}: ${reason}`)
}

function loadAll (deployment: string): Config[] {
  const files = readdirSync(join(EXAMPLES, deployment)).filter(name => name !== 'shared.yaml' && name !== 'settings.yaml' && name.endsWith('.yaml'))
  return files.map(name => {
    const result = loadConfig(join(EXAMPLES, deployment, name))
    if (!result.ok) throw new Error(JSON.stringify(result.problems))
    return result.config
  })
}

const GOOD = `
host: a-1
zone: a
region: r
path: fleet/r/a/rack-1/a-1
group: test
listen: { caller: 127.0.0.1:1, operator: 127.0.0.1:2, peer: 127.0.0.1:3 }
peers: [{ host: a-1, zone: a, region: r, address: 127.0.0.1:3 }]
voters: [a-1]
leaseVoters: [a-1]
dataFolder: data
endpoints: []
`

describe('settings file', () => {
  after(() => rmSync(folder, { recursive: true }))

  it('loads a valid file and resolves its paths relative to it', () => {
    const file = join(folder, 'good.yaml')
    writeFileSync(file, GOOD)
    const result = loadConfig(file)
    expect(result.ok && result.config.dataFolder).toEqual(join(folder, 'data'))
  })

  it('reports all schema errors at once with their paths', () => {
    const problems = listProblems(GOOD.replace('zone: a\n', 'zone: A\n').replace('group: test', 'grup: test').replace('127.0.0.1:2', 'localhost'))
    expect(problems.map(problem => problem.split(':')[0]).sort()).toEqual(['', 'group', 'listen.operator', 'zone'])
  })

  it('reports YAML errors with line and column', () => {
    expect(listProblems('host: [a\nzone: b')[0]?.startsWith('line ')).toEqual(true)
  })

  it('reports violated rules between keys', () => {
    const cases: [string, string, string][] = [
      ['voters: [a-1]', 'voters: [a-1, a-2]', 'voters'],
      ['leaseVoters: [a-1]', 'leaseVoters: [a-9]', 'leaseVoters'],
      ['dataFolder: data', '', 'dataFolder'],
      ['peer: 127.0.0.1:3', 'peer: 10.0.0.1:3', 'tls'],
      ['operator: 127.0.0.1:2', 'operator: 10.0.0.1:2', 'operatorTokens'],
      ['endpoints: []', '', 'platform'],
      ['rack-1/a-1', 'rack-1/a-2', 'path'],
      ['[{ host: a-1, zone: a, ', '[{ host: a-1, zone: b, ', 'peers']
    ]
    for (const [from, to, path] of cases) {
      expect(listProblems(GOOD.replace(from, to)).some(problem => problem.startsWith(path))).toEqual(true)
    }
    expect(listProblems(GOOD.replace('peer: 127.0.0.1:3', 'peer: 10.0.0.1:3') + 'allowInsecure: true\n')).toEqual([])
  })

  for (const [deployment, zones, engines, services] of [['tescil', 3, 13, 3], ['aqaba', 3, 8, 3]] as const) {
    it(`loads every host of the example ${deployment} with all its zones, engines and services`, () => {
      const configs = loadAll(deployment)
      const [first] = configs
      expect(configs.map(({ host }) => host).sort()).toEqual(first?.peers.map(({ host }) => host).sort() ?? [])
      expect(new Set(configs.map(({ zone }) => zone)).size).toEqual(zones)
      expect(first?.endpoints?.filter(({ kind }) => kind === 'engine').length).toEqual(engines)
      expect(first?.endpoints?.filter(({ kind }) => kind === 'service').length).toEqual(services)
    })
  }
})
