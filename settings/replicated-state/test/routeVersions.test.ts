import type { RouteTable } from '@catkinferry/core.types'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'

function buildReplace (version: number, document: string): Command {
  const table: RouteTable = { version, routes: [], pools: [], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  return { kind: 'routes.replace', table, document }
}

function applyAll (state: ReplicatedState, commands: readonly Command[]) {
  return commands.map((command, index) => state.apply({ index, proposedAt: index, command }))
}

describe('route versions', () => {
  it('are replaced only by a higher version; a resend and an older version change nothing', () => {
    const state = createReplicatedState()
    const outcomes = applyAll(state, [buildReplace(5, 'five'), buildReplace(5, 'five'), buildReplace(3, 'three'), buildReplace(9, 'nine')])
    expect(outcomes).toEqual([
      { kind: 'routes.held', version: 5, replaced: true },
      { kind: 'routes.held', version: 5, replaced: false },
      { kind: 'routes.held', version: 5, replaced: false },
      { kind: 'routes.held', version: 9, replaced: true }
    ])
    expect(state.answerQuery({ kind: 'routes' })).toEqual({ version: 9, document: 'nine' })
  })

  it('keep the first content that was sent with a version number', () => {
    const state = createReplicatedState()
    applyAll(state, [buildReplace(5, 'first'), buildReplace(5, 'second')])
    expect(state.answerQuery({ kind: 'routes' })).toEqual({ version: 5, document: 'first' })
  })

  it('are restored from a snapshot, as are announced adapter versions', () => {
    const state = createReplicatedState()
    applyAll(state, [buildReplace(5, 'five'), { kind: 'adapter.announce', model: 'm', adapter: 'a', version: 4 }, { kind: 'adapter.announce', model: 'm', adapter: 'b', version: 2 }])
    const restored = createReplicatedState()
    restored.restoreSnapshot(state.takeSnapshot())
    expect([restored.getRoutes()?.document, restored.getAnnouncedVersion('m', 'a'), restored.getAnnouncedSequence()]).toEqual(['five', 4, 2])
    expect(restored.listAnnouncedAfter(1)).toEqual(state.listAnnouncedAfter(1))
  })
})

describe('announced adapter versions', () => {
  it('never decrease, and are listed from a given sequence', () => {
    const state = createReplicatedState()
    const outcomes = applyAll(state, [3, 2, 3, 7].map(version => ({ kind: 'adapter.announce', model: 'm', adapter: 'a', version })))
    expect(outcomes.map(outcome => outcome.kind === 'adapter.announced' && outcome.version)).toEqual([3, 3, 3, 7])
    expect(state.listAnnouncedAfter(0)).toEqual([{ model: 'm', adapter: 'a', version: 7, sequence: 2 }])
    expect(state.listAnnouncedAfter(2)).toEqual([])
  })
})
