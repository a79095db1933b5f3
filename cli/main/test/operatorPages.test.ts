import { METRIC_DESCRIPTIONS } from '@catkinferry/core.metrics'
import { configSchema } from '@catkinferry/daemon.config'
import { listKeys } from '@catkinferry/settings.schema'
import { expect } from 'earl'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { CLI_FLAGS, findCommand } from '../src/index.ts'

const ROOT = join(import.meta.dirname, '../../..')
const PAGES = join(ROOT, 'docs/operators')

const pages = readdirSync(PAGES).map(name => ({ name, text: readFileSync(join(PAGES, name), 'utf8') }))

/** Code spans and lines of code blocks of a page. */
function listCode (text: string): string[] {
  const spans = [...text.matchAll(/`([^`\n]+)`/g)].map(match => match[1] ?? '')
  const lines = [...text.matchAll(/^ {4}(.+)$/gm)].map(match => match[1]?.trim() ?? '')
  return [...spans, ...lines]
}

/** Names of code spans in the first column of the tables of a page. */
function listTableNames (page: string): string[] {
  const text = pages.find(({ name }) => name === page)?.text ?? ''
  return [...text.matchAll(/^\| `([^`]+)` \|/gm)].map(match => match[1] ?? '')
}

function listSources (folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
    if (entry.name === 'node_modules' || entry.name === 'dist' || entry.name.startsWith('.')) return []
    const path = join(folder, entry.name)
    return entry.isDirectory() ? listSources(path) : /\/src\/.*\.ts$/.test(path) ? [path] : []
  })
}

describe('operator pages', () => {
  it('name only commands and flags that exist', () => {
    const flags = new Set([...Object.keys(CLI_FLAGS).map(flag => flag.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)), 'help'])
    const unknown = pages.flatMap(({ name, text }) => listCode(text).filter(code => code.startsWith('catkinferry ')).filter(code => {
      const words = code.split(' ').slice(1)
      const isKnown = words[0] === 'dev' || findCommand(words) !== undefined
      const areFlagsKnown = words.filter(word => word.startsWith('--')).every(word => flags.has(word.slice(2)))
      return !isKnown || !areFlagsKnown
    }).map(code => `${name}: ${code}`))
    expect(unknown).toEqual([])
  })

  it('name only settings keys, metrics and files that exist', () => {
    const known = new Set([...listKeys().map(({ key }) => key), ...Object.keys(METRIC_DESCRIPTIONS)])
    const dotted = /^[a-z]+\.[a-zA-Z_]+$/
    const unknown = pages.flatMap(({ name, text }) => listCode(text).filter(code => dotted.test(code) && !known.has(code)).map(code => `${name}: ${code}`))
    expect(unknown).toEqual([])
  })

  it('list every key of the settings file and no other', () => {
    expect(listTableNames('install.md').sort()).toEqual([...Object.keys(configSchema.shape), 'include'].sort())
  })

  it('list every metric that the source sends and no other', () => {
    const sent = new Set(listSources(ROOT).flatMap(file => {
      const text = readFileSync(file, 'utf8')
      const names = [...text.matchAll(/kind: 'metric', type: '\w+', name: '([^']+)'/g), ...text.matchAll(/metrics\.(?:count|gauge|timing)\('([^']+)'/g)]
      return names.map(match => match[1] ?? '')
    }))
    const described = Object.keys(METRIC_DESCRIPTIONS).sort()
    expect([...sent].sort()).toEqual(described)
    expect(listTableNames('metrics-and-logs.md').sort()).toEqual(described)
  })
})
