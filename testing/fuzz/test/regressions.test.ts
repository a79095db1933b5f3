import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { Action } from '../src/actions.ts'
import { runActions } from '../src/runActions.ts'

function run (actions: readonly Action[], seed = 0): readonly string[] {
  return runActions({ seed, shape: SMALL_DEPLOYMENT, actions }).violations
}

describe('fuzzing regressions', () => {
  it('applies changes in the zone of a voter whose disk was wiped', () => {
    expect(run([
      { kind: 'submit', host: 0, adapter: 0, pinned: false, serviceClass: 'urgent', times: 1 },
      { kind: 'wipe', host: 0 },
      { kind: 'wait', ms: 1 }
    ])).toEqual([])
  })

  it('does not revert settings when all hosts restart and the new leader has not committed an entry yet', () => {
    expect(run([
      { kind: 'slowDisks', ms: 1_491 },
      { kind: 'wait', ms: 3_973 },
      { kind: 'restartAll' },
      { kind: 'wait', ms: 2_000 }
    ], 7)).toEqual([])
  })

  it('accepts changes after a graceful shutdown of the leader', () => {
    expect(run([
      { kind: 'stop', host: 5 },
      { kind: 'cutEndpoints', host: 0 },
      { kind: 'heal' },
      { kind: 'submit', host: 0, adapter: 0, pinned: false, serviceClass: 'urgent', times: 1 }
    ])).toEqual([])
  })
})
