import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createIntake } from '../src/intake.ts'

function buildSubmit (commandId: string) {
  return { kind: 'command.submit', origin: 'h', commandId, hops: 0, command: { kind: 'endpoint.fact', endpoint: 'e', checksFencing: true } } as const
}

describe('the intake of commands', () => {
  /** A leader that loses and regains the lead may propose twice at one index; either entry may be the one that commits. */
  it('keeps both batches that were proposed at one index in different terms, until an entry is committed there', () => {
    const intake = createIntake()
    for (const [commandId, term] of [['c1', 2], ['c2', 4]] as const) {
      intake.add(buildSubmit(commandId), 0)
      intake.recordProposed(7, { term, submissions: intake.takeBatch(), appendedAt: 0, entriesBefore: 0 })
    }
    expect(intake.getPendingCount()).toEqual(2)
    expect(intake.takeProposed(7).map(({ term, submissions }) => [term, submissions.map(({ commandId }) => commandId)])).toEqual([[2, ['c1']], [4, ['c2']]])
    expect([intake.getPendingCount(), intake.takeProposed(7)]).toEqual([0, []])
  })
})
