/** Commands that read and change settings. */
import { readFileSync } from 'node:fs'
import type { OperatorReply } from '@catkinferry/core.types'
import { parse } from 'yaml'
import { getArgument, getLimit, UsageError } from '../commandContext.ts'
import type { Command, CommandContext } from '../commandContext.ts'
import { readNode, submitChanges } from './changes.ts'
import type { RequestedChange } from './changes.ts'

/** Parses `key=value`. The value is parsed as YAML, so that numbers and booleans keep their types. */
export function parseAssignment (text: string): [string, unknown] {
  const equals = text.indexOf('=')
  if (equals <= 0) throw new UsageError(`${text}: must be KEY=VALUE`)
  return [text.slice(0, equals), parse(text.slice(equals + 1)) as unknown]
}

/** Reads a YAML file of nodes: a mapping from path to a mapping of keys, or to `null` to remove the node. */
function readNodesFile (file: string | undefined): Map<string, Record<string, unknown> | null> {
  if (file === undefined) throw new UsageError('--file is missing')
  let parsed: unknown
  try {
    parsed = parse(readFileSync(file, 'utf8'))
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`)
  }
  if (typeof parsed !== 'object' || parsed === null || Array.isArray(parsed)) throw new UsageError(`${file}: must map paths to keys`)
  const nodes = new Map<string, Record<string, unknown> | null>()
  for (const [path, values] of Object.entries(parsed)) {
    if (values !== null && (typeof values !== 'object' || Array.isArray(values))) throw new UsageError(`${file}: ${path}: must map keys to values, or be null`)
    nodes.set(path, values as Record<string, unknown> | null)
  }
  return nodes
}

interface NodeDifference {
  readonly path: string
  readonly key: string
  readonly now: unknown
  readonly wanted: unknown
}

function compareValues (path: string, now: Readonly<Record<string, unknown>>, wanted: Readonly<Record<string, unknown>>): NodeDifference[] {
  const keys = [...new Set([...Object.keys(now), ...Object.keys(wanted)])]
  return keys.filter(key => JSON.stringify(now[key]) !== JSON.stringify(wanted[key])).map(key => ({ path, key, now: now[key], wanted: wanted[key] }))
}

/** Computes what applying a file would change, with the revision at which each node was read. */
async function planFile (context: CommandContext): Promise<{ readonly differences: NodeDifference[], readonly changes: RequestedChange[] } | { readonly failed: OperatorReply }> {
  const differences: NodeDifference[] = []
  const changes: RequestedChange[] = []
  for (const [path, wanted] of readNodesFile(context.flags.file)) {
    const read = await readNode(context, path)
    if ('failed' in read) return read
    const { node } = read
    if (wanted === null) {
      if (!node.exists) continue
      differences.push(...compareValues(path, node.values, {}), { path, key: '(node)', now: 'exists', wanted: undefined })
      changes.push({ path, expectedRevision: node.revision, remove: true })
      continue
    }
    const found = compareValues(path, node.values, wanted)
    if (found.length === 0 && node.exists) continue
    differences.push(...found)
    const unset = found.filter(difference => difference.wanted === undefined).map(({ key }) => key)
    changes.push({ path, expectedRevision: node.revision, values: wanted, unset })
  }
  return { differences, changes }
}

export const settingsCommands: Readonly<Record<string, Command>> = {
  'settings get': {
    usage: 'settings get PATH [--effective] [--explain] [--fresh]',
    description: 'a node; --effective adds inherited values, --explain the node that each value comes from',
    run: async context => {
      const { effective = false, explain = false, fresh = false } = context.flags
      return await context.client.request({ kind: 'settings.get', path: getArgument(context, 0, 'PATH'), effective: effective || explain, explain, fresh })
    }
  },
  'settings list': {
    usage: 'settings list PATH [--limit N] [--after NAME]',
    description: 'the nodes below a node',
    run: async context => await context.client.request({ kind: 'settings.list', path: getArgument(context, 0, 'PATH'), limit: getLimit(context), after: context.flags.after })
  },
  'settings set': {
    usage: 'settings set PATH KEY=VALUE... [--expect REVISION] [--change-id ID] [--dry-run]',
    description: 'sets keys of a node, which is created if it does not exist',
    run: async context => {
      const path = getArgument(context, 0, 'PATH')
      const values = Object.fromEntries(context.args.slice(1).map(parseAssignment))
      return await submitChanges(context, [{ path, values }])
    }
  },
  'settings unset': {
    usage: 'settings unset PATH KEY... [--expect REVISION] [--change-id ID] [--dry-run]',
    description: 'removes overrides, so that the parent\'s values apply',
    run: async context => {
      getArgument(context, 1, 'KEY')
      return await submitChanges(context, [{ path: getArgument(context, 0, 'PATH'), unset: context.args.slice(1) }])
    }
  },
  'settings remove': {
    usage: 'settings remove PATH [--expect REVISION] [--change-id ID] [--dry-run]',
    description: 'removes a node',
    run: async context => await submitChanges(context, [{ path: getArgument(context, 0, 'PATH'), remove: true }])
  },
  'settings diff': {
    usage: 'settings diff --file FILE',
    description: 'what applying a file would change',
    run: async context => {
      const planned = await planFile(context)
      return 'failed' in planned ? planned.failed : { ok: true, body: planned.differences }
    }
  },
  'settings apply': {
    usage: 'settings apply --file FILE [--change-id ID] [--dry-run]',
    description: 'changes the nodes in a file to match the file, in one change',
    run: async context => {
      const planned = await planFile(context)
      if ('failed' in planned) return planned.failed
      if (planned.changes.length === 0) return { ok: true, body: { changed: 0 } }
      return await submitChanges(context, planned.changes)
    }
  },
  'settings status': {
    usage: 'settings status',
    description: 'the revision in force on each host',
    run: async context => await context.client.request({ kind: 'settings.status' })
  }
}
