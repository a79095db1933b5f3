import { createSettingsTree, planChange } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { NodeChange } from '@catkinferry/core.types'
import { expect } from 'earl'
import { describe, it } from 'node:test'

function createSampleTree (): SettingsTree {
  const tree = createSettingsTree()
  tree.applyDelta({
    revision: 4,
    nodes: [
      { path: 'models/m', nodeRevision: 1, values: {} },
      { path: 'models/m/a', nodeRevision: 2, values: { inForce: 'v1' } },
      { path: 'models/m/a/v1', nodeRevision: 2, values: { digest: 'sha256:00' } },
      { path: 'models/n', nodeRevision: 3, values: {} },
      { path: 'fleet/r/z/k', nodeRevision: 4, values: {} },
      { path: 'fleet/r', nodeRevision: 4, values: {} }
    ]
  })
  return tree
}

function listReasons (changes: readonly NodeChange[]): string[] {
  const planned = planChange({ tree: createSampleTree(), changes })
  if (planned.ok) return []
  return planned.refusal.problems.map(({ path, key, reason }) => [path, key, reason].filter(part => part !== undefined).join(' | '))
}

describe('planChange', () => {
  it('refuses a change whose expected revision does not match, and returns the current node', () => {
    const planned = planChange({ tree: createSampleTree(), changes: [{ path: 'models/m/a', expectedRevision: 1, values: { enabled: false } }] })
    expect(!planned.ok && planned.refusal.failure.code).toEqual('ERR_CATKINFERRY_CONFLICT')
    expect(!planned.ok && planned.refusal.current).toEqual([{ path: 'models/m/a', revision: 2, values: { inForce: 'v1' } }])
  })

  it('plans several nodes at once, removals first and parents before children', () => {
    const planned = planChange({
      tree: createSampleTree(),
      changes: [
        { path: 'models/n/b/v1', expectedRevision: 0, values: {} },
        { path: 'models/n/b', expectedRevision: 0, values: { inForce: 'v1' } },
        { path: 'models/m/a', expectedRevision: 2, remove: true },
        { path: 'models/m/a/v1', expectedRevision: 2, remove: true }
      ]
    })
    expect(planned.ok && planned.plan.nodes.map(node => node.path)).toEqual(['models/m/a/v1', 'models/m/a', 'models/n/b', 'models/n/b/v1'])
  })

  it('allows moving an adapter to another model in one change', () => {
    expect(listReasons([
      { path: 'models/m/a', expectedRevision: 2, remove: true },
      { path: 'models/m/a/v1', expectedRevision: 2, remove: true },
      { path: 'models/n/a', expectedRevision: 0, values: {} }
    ])).toEqual([])
  })

  it('refuses to remove a node unless all its descendants are removed in the same change', () => {
    expect(listReasons([{ path: 'models/m', expectedRevision: 1, remove: true }]).length).toEqual(1)
    expect(listReasons([{ path: 'fleet/r', expectedRevision: 4, remove: true }])).toEqual(['fleet/r | has nodes below it, such as fleet/r/z/k; name them all to remove them too'])
    expect(listReasons([{ path: 'fleet/r', expectedRevision: 4, remove: true }, { path: 'fleet/r/z/k', expectedRevision: 4, remove: true }])).toEqual([])
  })

  it('refuses to remove the version in force, change a digest, put a missing version in force, reuse an adapter name, or create a node without its parent', () => {
    expect(listReasons([{ path: 'models/m/a/v1', expectedRevision: 2, remove: true }])).toEqual(['models/m/a/v1 | is the version in force and cannot be removed'])
    expect(listReasons([{ path: 'models/m/a/v1', expectedRevision: 2, values: { digest: 'sha256:11' } }]).length).toEqual(1)
    expect(listReasons([{ path: 'models/m/a', expectedRevision: 2, values: { inForce: 'v9' } }])).toEqual(['models/m/a | inForce | the version v9 does not exist'])
    expect(listReasons([{ path: 'models/n/a', expectedRevision: 0, values: {} }])).toEqual(["models/n/a | the adapter name 'a' is already used by models/m/a"])
    expect(listReasons([{ path: 'models/x/b', expectedRevision: 0, values: {} }])).toEqual(['models/x/b | its parent models/x does not exist'])
  })

  it('reports all problems of all nodes at once', () => {
    expect(listReasons([
      { path: 'fleet', expectedRevision: 0, values: { nonsense: 1, 'queue.limit': 'many' } },
      { path: 'models/m', expectedRevision: 1, values: { 'queue.limit': 1 } },
      { path: 'else', expectedRevision: 0 }
    ]).length).toEqual(4)
  })
})
