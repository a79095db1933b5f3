import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import { expect } from 'earl'
import { describe, it } from 'node:test'

describe('quarantined prompt parts', () => {
  // Guards against knowledge of parts that crash engines that is lost with the processes that found it.
  it('are restored from a snapshot, with their revision', () => {
    const state = createReplicatedState()
    for (const [index, part] of ['a', 'b', 'a'].entries()) state.apply({ index: 1, proposedAt: 1_000 + index, command: { kind: 'prompt.quarantine', part } })
    state.apply({ index: 1, proposedAt: 2_000, command: { kind: 'prompt.release', part: 'a' } })
    const restored = createReplicatedState()
    restored.restoreSnapshot(state.takeSnapshot())
    expect(restored.listQuarantined()).toEqual([{ part: 'b', at: 1_001 }])
    expect([state.getQuarantineRevision(), restored.getQuarantineRevision()]).toEqual([3, 3])
  })

  it('are limited in number, and commands with an empty or long part are refused', () => {
    const state = createReplicatedState()
    for (let index = 0; index < 300; index += 1) state.apply({ index: 1, proposedAt: index, command: { kind: 'prompt.quarantine', part: `p${index}` } })
    expect(state.listQuarantined().length).toEqual(256)
    expect(['', 'x'.repeat(65)].map(part => state.checkCommand({ kind: 'prompt.quarantine', part }) === undefined)).toEqual([false, false])
  })
})
