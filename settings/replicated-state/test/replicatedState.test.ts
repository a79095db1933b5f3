import type { NodeChange } from '@catkinferry/core.types'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { AuditPage, ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, CommandOutcome } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

const operator = { name: 'ayse', role: 'write', from: '10.0.0.1' } as const

function formatChange (changeId: string, changes: readonly NodeChange[]): Command {
  return { kind: 'settings.change', changeId, operator, changes }
}

function applyAll (state: ReplicatedState, commands: readonly Command[], proposedAt = 1_000): CommandOutcome[] {
  return commands.map((command, index) => state.apply({ index, proposedAt: proposedAt + index, command }))
}

function listAudit (state: ReplicatedState, opts: { afterSequence?: number, path?: string, who?: string } = {}): AuditPage {
  return state.answerQuery({ kind: 'audit', afterSequence: 0, limit: 100, ...opts }) as AuditPage
}

describe('createReplicatedState', () => {
  it('accepts exactly one of two changes that expect the same revision, and returns the current node to the other', () => {
    const state = createReplicatedState()
    const [first, second] = applyAll(state, [
      formatChange('c1', [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 1 } }]),
      formatChange('c2', [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 2 } }])
    ])
    expect(first).toEqual({ kind: 'settings.accepted', revision: 1, repeated: false, nodes: [{ path: 'fleet', revision: 1 }] })
    expect(second?.kind === 'settings.refused' && second.failure.code).toEqual('ERR_CATKINFERRY_CONFLICT')
    expect(second?.kind === 'settings.refused' && second.current).toEqual([{ path: 'fleet', revision: 1, values: { 'queue.limit': 1 } }])
  })

  it('applies all nodes of a change or none', () => {
    const state = createReplicatedState()
    applyAll(state, [formatChange('c1', [
      { path: 'models/m', expectedRevision: 0 },
      { path: 'models/m/a', expectedRevision: 0, values: { inForce: 'missing' } }
    ])])
    expect([...state.listNodes()]).toEqual([])
    expect(state.getRevision()).toEqual(0)
  })

  it('answers a resent change with its first answer on every voter, also after a restart from a snapshot', () => {
    const change = formatChange('c1', [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 1 } }])
    const conflict = formatChange('c2', [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 2 } }])
    const other = formatChange('c3', [{ path: 'fleet', expectedRevision: 1, values: { 'queue.limit': 3 } }])
    const oldLeader = createReplicatedState()
    const log = [change, conflict, other]
    const firstAnswers = applyAll(oldLeader, log)
    const newLeader = createReplicatedState()
    applyAll(newLeader, log)
    const restarted = createReplicatedState()
    restarted.restoreSnapshot(oldLeader.takeSnapshot())
    for (const state of [newLeader, restarted]) {
      expect(applyAll(state, [change, conflict])).toEqual(firstAnswers.slice(0, 2).map(answer => ({ ...answer, repeated: true }) as CommandOutcome))
      expect(state.getRevision()).toEqual(2)
    }
  })

  it('refuses a change id that was used for another change', () => {
    const state = createReplicatedState()
    const [, second] = applyAll(state, [
      formatChange('c1', [{ path: 'fleet', expectedRevision: 0, values: {} }]),
      formatChange('c1', [{ path: 'fleet', expectedRevision: 1, values: { 'queue.limit': 3 } }])
    ])
    expect(second?.kind === 'settings.refused' && second.failure.code).toEqual('ERR_CATKINFERRY_BAD_ARGUMENT')
    expect(state.getRevision()).toEqual(1)
  })

  it('drops answers beyond the kept count; a resend after that is refused because of its expected revision', () => {
    const state = createReplicatedState()
    const first = formatChange('c0', [{ path: 'fleet', expectedRevision: 0, values: { 'changes.keptCount': 100 } }])
    const others = Array.from({ length: 100 }, (_, index) => formatChange(`d${index}`, [{ path: `fleet/r${index}`, expectedRevision: 0, values: {} }]))
    applyAll(state, [first, ...others])
    const [again] = applyAll(state, [first])
    expect(again?.kind === 'settings.refused' && again.failure.code).toEqual('ERR_CATKINFERRY_CONFLICT')
  })

  it('records who changed what, when, from where and how it ended, and filters by subtree and operator', () => {
    const state = createReplicatedState()
    applyAll(state, [
      formatChange('c1', [{ path: 'fleet/r', expectedRevision: 0, values: { 'queue.limit': 1 } }]),
      formatChange('c2', [{ path: 'fleet/r', expectedRevision: 1, unset: ['queue.limit'] }]),
      formatChange('c3', [{ path: 'fleet/r', expectedRevision: 9, remove: true }]),
      { kind: 'audit.refused', changeId: 'c4', operator: { name: 'efe', role: 'read', from: '10.0.0.2' }, changes: [], failure: { code: 'ERR_CATKINFERRY_FORBIDDEN', message: 'may not', step: 'operator' } }
    ])
    const { entries, lastSequence } = listAudit(state)
    expect(entries.map(entry => [entry.sequence, entry.at, entry.operator.name, entry.operator.from, entry.changeId, entry.outcome])).toEqual([
      [1, 1_000, 'ayse', '10.0.0.1', 'c1', 'accepted'],
      [2, 1_001, 'ayse', '10.0.0.1', 'c2', 'accepted'],
      [3, 1_002, 'ayse', '10.0.0.1', 'c3', 'refused'],
      [4, 1_003, 'efe', '10.0.0.2', 'c4', 'refused']
    ])
    expect(entries[1]?.nodes).toEqual([{ path: 'fleet/r', before: { 'queue.limit': 1 }, after: {} }])
    expect(lastSequence).toEqual(4)
    expect(listAudit(state, { path: 'fleet' }).entries.length).toEqual(3)
    expect(listAudit(state, { who: 'efe' }).entries.map(entry => entry.sequence)).toEqual([4])
    expect(listAudit(state, { afterSequence: 2 }).entries.map(entry => entry.sequence)).toEqual([3, 4])
  })

  it('drops the oldest audit entries beyond the bytes kept and reports the first sequence left', () => {
    const state = createReplicatedState()
    applyAll(state, [formatChange('c0', [{ path: 'fleet', expectedRevision: 0, values: { 'audit.keptBytes': 65_536 } }])])
    applyAll(state, Array.from({ length: 500 }, (_, index) => formatChange(`d${index}`, [{ path: `fleet/r${index}`, expectedRevision: 0, values: { 'queue.limit': 5 } }])))
    const { firstSequence, entries } = listAudit(state)
    expect(firstSequence > 1).toEqual(true)
    expect(entries[0]?.sequence).toEqual(firstSequence)
    expect(state.listDeltasAfter(0)).toEqual(undefined)
    expect(state.listDeltasAfter(499)?.map(delta => delta.revision)).toEqual([500, 501])
  })

  it('continues its audit trail and deltas after a snapshot, also where entries were compressed', () => {
    const state = createReplicatedState()
    const formatStep = (index: number): Command => formatChange(`d${index}`, [{ path: `fleet/r${index}`, expectedRevision: 0, values: { 'queue.limit': 5 } }])
    applyAll(state, Array.from({ length: 1_500 }, (_, index) => formatStep(index)))
    const restored = createReplicatedState()
    restored.restoreSnapshot(state.takeSnapshot())
    for (const each of [state, restored]) applyAll(each, Array.from({ length: 1_500 }, (_, index) => formatStep(1_500 + index)))
    expect(Buffer.compare(state.takeSnapshot(), restored.takeSnapshot())).toEqual(0)
    expect(restored.listDeltasAfter(100)?.map(delta => delta.revision)).toEqual(Array.from({ length: 2_900 }, (_, index) => index + 101))
    expect((restored.answerQuery({ kind: 'audit', afterSequence: 700, limit: 2 }) as AuditPage).entries.map(entry => entry.changeId)).toEqual(['d700', 'd701'])
  })

  it('resolves an unknown claim once, with an audit entry', () => {
    const state = createReplicatedState()
    const resolve: Command = { kind: 'claim.resolve', changeId: 'c1', operator, claimKey: 'k', resolution: 'done', note: 'seen in the register' }
    const outcomes = applyAll(state, [
      { kind: 'claim.take', claimKey: 'k', attemptId: 'a', host: 'h', keyCreatedAt: 1_000, fingerprint: 'f' },
      { kind: 'claim.resolve', changeId: 'c0', operator, claimKey: 'k', resolution: 'done', note: '' },
      { kind: 'claim.finish', claimKey: 'k', attemptId: 'a', outcome: { kind: 'unknown', reason: 'cut' } },
      resolve,
      resolve
    ])
    expect(outcomes.map(outcome => outcome.kind)).toEqual(['claim.taken', 'settings.refused', 'claim.finished', 'claim.resolved', 'claim.resolved'])
    expect(listAudit(state).entries.map(entry => [entry.changeId, entry.outcome, entry.claim?.claimKey])).toEqual([['c0', 'refused', 'k'], ['c1', 'accepted', 'k']])
  })

  it('does not let its time go back when a leader with a slower clock takes over', () => {
    const state = createReplicatedState()
    applyAll(state, [{ kind: 'endpoint.fact', endpoint: 'e', checksFencing: true }], 1_000_000_000)
    const [late] = applyAll(state, [{ kind: 'claim.take', claimKey: 'k', attemptId: 'a', host: 'h', keyCreatedAt: 1_000, fingerprint: 'f' }], 1_000)
    expect(late?.kind).toEqual('claim.expired')
  })

  it('refuses malformed and overlong changes, with a short audit entry', () => {
    const state = createReplicatedState()
    const huge = Array.from({ length: 1_001 }, (_, index) => ({ path: `fleet/${'x'.repeat(100)}${index}`, expectedRevision: 0, values: {} }))
    const malformed: unknown[] = [undefined, 'text', [null], [{ path: 5 }], [{ path: 'fleet', expectedRevision: 0, values: null }], huge]
    const outcomes = applyAll(state, malformed.map((changes, index) => formatChange(`c${index}`, changes as never)))
    expect(outcomes.map(outcome => outcome.kind === 'settings.refused' && outcome.failure.code)).toEqual(malformed.map(() => 'ERR_CATKINFERRY_BAD_SETTINGS' as const))
    expect(listAudit(state).entries.length).toEqual(malformed.length)
    expect(JSON.stringify(listAudit(state)).length < 20_000).toEqual(true)
    const [tooLong] = applyAll(state, [formatChange('c'.repeat(129), [{ path: 'fleet', expectedRevision: 0 }])])
    expect(tooLong?.kind === 'settings.refused' && tooLong.failure.code).toEqual('ERR_CATKINFERRY_BAD_ARGUMENT')
  })

  it('refuses a snapshot of an unknown format', () => {
    const state = createReplicatedState()
    expect(() => state.restoreSnapshot(Uint8Array.from([0xa1, 0x66, 0x66, 0x6f, 0x72, 0x6d, 0x61, 0x74, 0x18, 0x63]))).toThrow('unsupported snapshot format 99; this release writes format 2')
  })
})

const paths = ['fleet', 'fleet/r', 'fleet/r/z', 'models/m', 'models/m/a', 'models/m/a/v1', 'models/n', 'models/n/a', 'models/n/b']
const nodeChange = fc.record({
  path: fc.constantFrom(...paths),
  expectedRevision: fc.integer({ min: 0, max: 4 }),
  values: fc.constantFrom({}, { 'queue.limit': 5 }, { inForce: 'v1' }, { enabled: false }, { pool: 'p' }),
  remove: fc.boolean()
}).map(({ remove, values, ...rest }) => remove ? { ...rest, remove } : { ...rest, values })
const arbitraryCommand: fc.Arbitrary<Command> = fc.oneof(
  fc.record({ changeId: fc.nat(40).map(String), changes: fc.array(nodeChange, { minLength: 1, maxLength: 3 }) }).map(({ changeId, changes }) => formatChange(changeId, changes)),
  fc.record({ claimKey: fc.constantFrom('k', 'l'), attemptId: fc.constantFrom('a', 'b'), keyCreatedAt: fc.nat(2_000) }).map(take => ({ kind: 'claim.take', host: 'h', fingerprint: 'f', ...take }) as const),
  fc.record({ claimKey: fc.constantFrom('k', 'l'), attemptId: fc.constantFrom('a', 'b'), kind: fc.constantFrom('notRun', 'unknown') })
    .map(({ claimKey, attemptId, kind }) => ({ kind: 'claim.finish', claimKey, attemptId, outcome: { kind, reason: 'r' } as never }) as const),
  fc.record({ claimKey: fc.constantFrom('k', 'l'), changeId: fc.nat(40).map(String) }).map(({ claimKey, changeId }) => ({ kind: 'claim.resolve', changeId, operator, claimKey, resolution: 'done', note: '' }) as const)
)

describe('snapshots of the replicated state', () => {
  it('are byte-equal after equal commands, and a restored state continues exactly like the original', () => {
    fc.assert(fc.property(fc.array(arbitraryCommand, { maxLength: 40 }), fc.array(arbitraryCommand, { maxLength: 20 }), (before, after) => {
      const state = createReplicatedState()
      const twin = createReplicatedState()
      applyAll(state, before)
      applyAll(twin, before)
      const snapshot = state.takeSnapshot()
      expect(Buffer.compare(snapshot, twin.takeSnapshot())).toEqual(0)
      const restored = createReplicatedState()
      restored.restoreSnapshot(snapshot)
      expect(Buffer.compare(snapshot, restored.takeSnapshot())).toEqual(0)
      expect(applyAll(restored, after, 5_000)).toEqual(applyAll(state, after, 5_000))
      expect(Buffer.compare(state.takeSnapshot(), restored.takeSnapshot())).toEqual(0)
    }), { seed: 1, numRuns: 200 })
  })

  it('list the same deltas that listeners were called with', () => {
    fc.assert(fc.property(fc.array(arbitraryCommand, { maxLength: 40 }), commands => {
      const state = createReplicatedState()
      const notified: unknown[] = []
      state.onRevision(delta => notified.push(JSON.stringify(delta)))
      applyAll(state, commands)
      expect(state.listDeltasAfter(0)?.map(delta => JSON.stringify(delta))).toEqual(notified as string[])
    }), { seed: 2, numRuns: 100 })
  })
})
