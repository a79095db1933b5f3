/**
 * Settings commands for the memory, dissemination and recovery experiments: they create the adapters of a deployment of
 * the target size with one version each, then make single changes.
 */
import type { Random } from '@catkinferry/core.random'
import type { NodeChange } from '@catkinferry/core.types'
import type { Command } from '@catkinferry/wire.messages'
import { decode, encode } from 'cbor-x'

const MODELS = 5
const ADAPTERS_PER_CHANGE = 100
const ZONES = 16
const DIGEST_WORDS = 8
const HEX_DIGITS = 8
const MAX_WORD = 2 ** 31 - 1

const operator = { name: 'operator', role: 'write', from: '10.0.0.1' } as const

/** Encodes and decodes a command, as a voter gets it from a frame or a log record. */
function encodeAndDecode (command: Command): Command {
  return decode(encode(command)) as Command
}

function buildSettingsChange (changeId: string, changes: readonly NodeChange[]): Command {
  return encodeAndDecode({ kind: 'settings.change', changeId, operator, changes })
}

function formatName (index: number): string {
  return `notice-office-${String(index).padStart(6, '0')}`
}

function formatDigest (random: Random): string {
  const words = Array.from({ length: DIGEST_WORDS }, () => random.nextInt(0, MAX_WORD).toString(16).padStart(HEX_DIGITS, '0'))
  return `sha256:${words.join('')}`
}

function buildVersionChange (adapterPath: string, name: string, version: string, random: Random): NodeChange {
  return {
    path: `${adapterPath}/${version}`,
    expectedRevision: 0,
    values: { weightsUri: `store://weights/${name}/${version}.safetensors`, digest: formatDigest(random) }
  }
}

function getAdapterPath (index: number): string {
  return `models/model-${index % MODELS}/${formatName(index)}`
}

/** Lists commands that create the models and `count` adapters with a version in force. */
export function * listCreations (count: number, random: Random): IterableIterator<Command> {
  const models = Array.from({ length: MODELS }, (_, index) => ({ path: `models/model-${index}`, expectedRevision: 0, values: { pool: `pool-${index}` } }))
  yield buildSettingsChange('models', models)
  for (let from = 0; from < count; from += ADAPTERS_PER_CHANGE) {
    const changes: NodeChange[] = []
    for (let index = from; index < Math.min(count, from + ADAPTERS_PER_CHANGE); index++) {
      const path = getAdapterPath(index)
      changes.push({ path, expectedRevision: 0, values: { inForce: 'v1' } }, buildVersionChange(path, formatName(index), 'v1', random))
    }
    yield buildSettingsChange(`create-${from}`, changes)
  }
}

/**
 * Lists the single changes of a day: three in four put a new version of an adapter in force, the others set an operating key of
 * a zone. `getRevision` reads a node's revision.
 */
export function * listDailyChanges (opts: { count: number, adapters: number, random: Random, getRevision: (path: string) => number }): IterableIterator<Command> {
  const { count, adapters, random, getRevision } = opts
  for (let index = 0; index < count; index++) {
    const changeId = `0193${String(index).padStart(8, '0')}-7000-8000-${random.nextInt(0, MAX_WORD).toString(16)}`
    if (index % 4 === 3) {
      const path = `fleet/region-${index % 6}/zone-${index % ZONES}`
      yield buildSettingsChange(changeId, [{ path, expectedRevision: getRevision(path), values: { 'queue.limit': 1_000 + index } }])
      continue
    }
    const adapter = random.nextInt(0, adapters - 1)
    const path = getAdapterPath(adapter)
    const version = `v${index + 2}`
    yield buildSettingsChange(changeId, [
      { path, expectedRevision: getRevision(path), values: { inForce: version } },
      buildVersionChange(path, formatName(adapter), version, random)
    ])
  }
}
