import { createSettingsTree, describeNode } from '@catkinferry/settings.tree'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

describe('createSettingsTree', () => {
  it('resolves a value from the node, else the nearest ancestor, else the default, and returns its origin', () => {
    const tree = createSettingsTree()
    tree.putNode({ path: 'fleet', nodeRevision: 1, values: { 'queue.limit': 10 } })
    tree.putNode({ path: 'fleet/r/z', nodeRevision: 2, values: { 'queue.limit': 20 } })
    expect(tree.explainValue('fleet/r/z/k/h', 'queue.limit')).toEqual({ key: 'queue.limit', value: 20, from: 'fleet/r/z' })
    expect(tree.explainValue('fleet/r/other', 'queue.limit')).toEqual({ key: 'queue.limit', value: 10, from: 'fleet' })
    expect(tree.explainValue('fleet/r/z', 'queue.ageingMs')).toEqual({ key: 'queue.ageingMs', value: 5_000, from: 'default' })
  })

  it('returns new values after an ancestor of an already read path changes', () => {
    const tree = createSettingsTree()
    expect(tree.getValue('fleet/r/z', 'queue.limit')).toEqual(2_000)
    tree.putNode({ path: 'fleet/r', nodeRevision: 1, values: { 'queue.limit': 7 } })
    expect(tree.getValue('fleet/r/z', 'queue.limit')).toEqual(7)
    tree.putNode({ path: 'fleet/r', nodeRevision: 2 })
    expect(tree.getValue('fleet/r/z', 'queue.limit')).toEqual(2_000)
  })

  it('resolves an adapter to the version in force or to an enabled version given by name, and to nothing else', () => {
    const tree = createSettingsTree()
    tree.putNode({ path: 'models/m', nodeRevision: 1, values: { pool: 'notices' } })
    tree.putNode({ path: 'models/m/a', nodeRevision: 1, values: { inForce: 'v1' } })
    tree.putNode({ path: 'models/m/a/v1', nodeRevision: 1, values: {} })
    tree.putNode({ path: 'models/m/a/v2', nodeRevision: 1, values: { enabled: false } })
    expect(tree.resolveAdapter('a')).toEqual({ adapter: 'a', version: 'v1', adapterKey: 'a@v1', model: 'm', pool: 'notices' })
    expect(tree.resolveAdapter('a', 'v2')).toEqual(undefined)
    expect(tree.resolveAdapter('a', 'v3')).toEqual(undefined)
    expect(tree.resolveAdapter('b')).toEqual(undefined)
    expect(tree.listAdapters({ limit: 5 }).map(row => row.adapterKey)).toEqual(['a@v1'])
  })

  it('returns long values unchanged whatever names they contain, also after a snapshot', () => {
    const digest = 'sha256:' + '0123456789abcdef'.repeat(4)
    const name = fc.constantFrom('a', 'v1', 'digest', 'enabled', 'sha256', 'weightsUri', 'notice-000123', '0')
    fc.assert(fc.property(name, name, fc.string({ maxLength: 90 }), (adapter, version, text) => {
      const values = { weightsUri: `store://weights/${adapter}/${version}.safetensors${JSON.stringify(text)}`, digest, pool: `${adapter}${version}`.repeat(4) }
      const tree = createSettingsTree()
      const path = `models/m/${adapter}/${version}`
      tree.applyDelta({ revision: 3, nodes: [{ path: `models/m/${adapter}`, nodeRevision: 2, values: { inForce: version } }, { path, nodeRevision: 3, values }] })
      for (const read of [tree, createSettingsTree(tree.save())]) {
        expect(read.getNode(path)).toEqual({ path, revision: 3, values })
        expect(read.getValue(path, 'enabled')).toEqual(true)
        expect(read.getValue(path, 'digest')).toEqual(digest)
        expect(read.resolveAdapter(adapter)?.version).toEqual(version)
      }
    }), { seed: 1, numRuns: 300 })
  })

  it('describes the effective keys of a node with their origin', () => {
    const tree = createSettingsTree()
    tree.putNode({ path: 'models/m', nodeRevision: 3, values: { pool: 'notices' } })
    const described = describeNode({ tree, path: 'models/m/a', effective: true, explain: true })
    expect(described.effective).toEqual([
      { key: 'pool', value: 'notices', from: 'models/m' },
      { key: 'enabled', value: true, from: 'default' }
    ])
  })

  it('matches a plain map after any sequence of puts and removals', () => {
    const segment = fc.constantFrom('a', 'b', 'c', 'a-long-name-of-a-node')
    const path = fc.tuple(fc.constantFrom('fleet', 'models'), fc.array(segment, { maxLength: 3 })).map(([root, rest]) => [root, ...rest].join('/'))
    const step = fc.record({ path, value: fc.option(fc.integer({ min: 1, max: 99 }), { nil: undefined }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), steps => {
      const tree = createSettingsTree()
      const model = new Map<string, number>()
      for (const [index, { path, value }] of steps.entries()) {
        tree.putNode({ path, nodeRevision: index + 1, values: value === undefined ? undefined : { 'queue.limit': value } })
        if (value === undefined) model.delete(path)
        else model.set(path, value)
      }
      expect(tree.countNodes()).toEqual(model.size)
      expect(new Map([...tree.walkNodes()].map(node => [node.path, node.values['queue.limit'] as number]))).toEqual(model)
      expect(new Set(tree.listNodesByIdRange(0, tree.getIdLimit()).map(node => node.path))).toEqual(new Set(model.keys()))
      for (const { path } of steps) expect(tree.getNode(path)?.values['queue.limit']).toEqual(model.get(path))
    }), { seed: 1, numRuns: 300 })
  })
})
