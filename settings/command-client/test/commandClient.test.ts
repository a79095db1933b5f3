import { ErrorCode } from '@catkinferry/core.errors'
import { createRandom } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createCommandClient, createLedgerClient } from '@catkinferry/settings.command-client'
import type { CommandClient, HostLedgerClient } from '@catkinferry/settings.command-client'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, CommandMessage, CommandResult, PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const command: Command = { kind: 'endpoint.fact', endpoint: 'e', checksFencing: true }
type Submit = Extract<CommandMessage, { kind: 'command.submit' }>
interface Sent { readonly to: HostId, readonly message: PeerMessage }

/** A client on virtual time; the test acts as the voters. */
interface Bench {
  readonly client: CommandClient
  readonly ledger: HostLedgerClient
  readonly context: RunContext
  readonly sent: Sent[]
  readonly advanceTo: (now: number) => void
  readonly getLastSubmit: () => Submit & { to: HostId }
  readonly listSubmits: (kind: Command['kind']) => Submit[]
}

function createBench (voters: readonly HostId[] = ['v1', 'v2', 'v3'], getOwnLeader?: () => HostId | undefined): Bench {
  let now = 0
  const sent: Sent[] = []
  const context: RunContext = {
    get now () { return now },
    wallNow: 0,
    send: (to, message) => { sent.push({ to, message }) },
    emit: () => {}
  }
  const client = createCommandClient({ host: 'h', voters: () => voters, getOwnLeader, random: createRandom(1) })
  return {
    client,
    ledger: createLedgerClient({ host: 'h', client }),
    context,
    sent,
    advanceTo: end => {
      for (let at = client.getNextAt(); at !== undefined && at <= end; at = client.getNextAt()) {
        now = Math.max(now, at)
        client.run(context)
      }
      now = end
    },
    getLastSubmit: () => {
      const { to, message } = sent.at(-1)!
      return { ...message as Submit, to }
    },
    listSubmits: kind => sent.map(({ message }) => message).filter((message): message is Submit => message.kind === 'command.submit' && message.command.kind === kind)
  }
}

describe('createCommandClient', () => {
  it('follows a leader hint at once and reports the outcome once', () => {
    const bench = createBench()
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 5_000, onOutcome: result => results.push(result) }, bench.context)
    const first = bench.getLastSubmit()
    const leader = ['v1', 'v2', 'v3'].find(voter => voter !== first.to)!
    bench.client.receive(first.to, { kind: 'command.refused', commandId: first.commandId, reason: 'notLeader', leader }, bench.context)
    const second = bench.getLastSubmit()
    expect(second.to).toEqual(leader)
    const answer = { kind: 'command.outcome', commandId: second.commandId, outcome: { kind: 'recorded' } } as const
    bench.client.receive(leader, answer, bench.context)
    bench.client.receive(leader, answer, bench.context)
    expect(results).toEqual([{ kind: 'outcome', outcome: { kind: 'recorded' } }])
  })

  // Guards against commands that wait for a leader of before, or a voter that is cut off, on a host whose own voter follows the new leader.
  for (const { name, waitMs, refuses, first, newLeader } of [
    { name: 'while it waits for another voter', waitMs: 100, refuses: false, first: 'v1', newLeader: 'v2' },
    { name: 'while it backs off after a refusal', waitMs: 1, refuses: true, first: 'v1', newLeader: 'v2' },
    { name: 'which has the command from before it led', waitMs: 100, refuses: false, first: 'h', newLeader: 'h' },
    { name: 'which has refused the command before it led', waitMs: 1, refuses: true, first: 'h', newLeader: 'h' }
  ]) {
    it(`sends a command at once to a leader of which the voter of its host learns ${name}`, () => {
      let ownLeader: HostId | undefined = first === 'h' ? undefined : first
      const bench = createBench(['h', 'v1', 'v2'], () => ownLeader)
      bench.client.submit({ command, deadlineAt: 5_000, onOutcome: () => undefined }, bench.context)
      const { to, commandId } = bench.getLastSubmit()
      if (refuses) bench.client.receive(first, { kind: 'command.refused', commandId, reason: 'notLeader' }, bench.context)
      ownLeader = undefined
      bench.advanceTo(waitMs)
      ownLeader = newLeader
      bench.advanceTo(waitMs)
      bench.advanceTo(waitMs + 100)
      expect([to, ...bench.sent.slice(1).map(sent => sent.to)]).toEqual([first, newLeader])
    })
  }

  // Guards against an operator who is not told of a full disk because another voter, which has no leader for that reason, refused last.
  it('names the cause of a refusal, also if another voter refuses without one later', () => {
    const bench = createBench()
    const failure = { code: ErrorCode.DISK_FAILED, message: 'the disk is full', step: 'disk' }
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 2_000, onOutcome: result => results.push(result) }, bench.context)
    const first = bench.getLastSubmit()
    bench.client.receive(first.to, { kind: 'command.refused', commandId: first.commandId, reason: 'diskFailed', failure }, bench.context)
    while (results.length === 0) {
      bench.advanceTo(bench.client.getNextAt() ?? Infinity)
      const { to, commandId } = bench.getLastSubmit()
      bench.client.receive(to, { kind: 'command.refused', commandId, reason: 'notLeader' }, bench.context)
    }
    expect([results, bench.sent.length > 1]).toEqual([[{ kind: 'refused', reason: 'notLeader', failure }], true])
  })

  it('tries another voter if the leader that the voter of its host follows does not answer', () => {
    const bench = createBench(['h', 'v1', 'v2'], () => 'v1')
    bench.client.submit({ command, deadlineAt: 5_000, onOutcome: () => undefined }, bench.context)
    bench.advanceTo(1_000)
    expect(bench.sent.map(({ to }) => to === 'v1').slice(0, 2)).toEqual([true, false])
  })

  it('fails a query that was sent and not answered with that reason', () => {
    const bench = createBench()
    const answers: string[] = []
    bench.client.submitQuery({ query: { kind: 'routes' }, fresh: true, deadlineAt: 900, onAnswer: answer => { if (!answer.ok) answers.push(answer.failure.message) } }, bench.context)
    bench.advanceTo(1_000)
    expect(answers).toEqual(['no voter answered in time: sent, but not answered'])
  })

  it('resends to other voters, each time with a new id, when a voter does not answer', () => {
    const bench = createBench()
    bench.client.submit({ command, deadlineAt: 60_000, onOutcome: () => {} }, bench.context)
    bench.advanceTo(10_000)
    expect(new Set(bench.sent.map(({ to }) => to)).size).toEqual(3)
    expect(new Set(bench.listSubmits('endpoint.fact').map(({ commandId }) => commandId)).size).toEqual(bench.sent.length)
  })

  it('reports refused when every send was refused', () => {
    const bench = createBench()
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 300, onOutcome: result => results.push(result) }, bench.context)
    while (results.length === 0) {
      const { to, commandId } = bench.getLastSubmit()
      bench.client.receive(to, { kind: 'command.refused', commandId, reason: 'busy' }, bench.context)
      bench.advanceTo(bench.client.getNextAt()!)
    }
    expect(results).toEqual([{ kind: 'refused', reason: 'busy' }])
  })

  it('reports unknown when one answer was lost, even if all later sends were refused', () => {
    const bench = createBench()
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 2_000, onOutcome: result => results.push(result) }, bench.context)
    bench.advanceTo(400)
    while (results.length === 0) {
      const { to, commandId } = bench.getLastSubmit()
      bench.client.receive(to, { kind: 'command.refused', commandId, reason: 'notLeader' }, bench.context)
      bench.advanceTo(bench.client.getNextAt()!)
    }
    expect(results).toEqual([{ kind: 'unknown' }])
  })

  it('accepts the outcome of an earlier send while a later one is in flight', () => {
    const bench = createBench()
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 9_000, onOutcome: result => results.push(result) }, bench.context)
    const first = bench.getLastSubmit()
    bench.advanceTo(1_000)
    bench.client.receive(first.to, { kind: 'command.outcome', commandId: first.commandId, outcome: { kind: 'recorded' } }, bench.context)
    expect(results.length).toEqual(1)
    expect(bench.client.getNextAt()).toEqual(undefined)
  })

  it('fails a query at its deadline', () => {
    const bench = createBench()
    const answers: unknown[] = []
    bench.client.submitQuery({ query: { kind: 'voters' }, fresh: true, deadlineAt: 1_000, onAnswer: answer => answers.push(answer.ok) }, bench.context)
    bench.advanceTo(1_000)
    expect(answers).toEqual([false])
  })

  it('reports refused at the deadline when no voter is known', () => {
    const bench = createBench([])
    const results: CommandResult[] = []
    bench.client.submit({ command, deadlineAt: 500, onOutcome: result => results.push(result) }, bench.context)
    bench.advanceTo(500)
    expect(results).toEqual([{ kind: 'refused', reason: 'no voter is known' }])
  })
})

/** Applies a submitted command to a state and, if `answer` is true, sends the outcome to the client. */
function commit (bench: Bench, state: ReplicatedState, submit: Submit, answer: boolean): void {
  const outcome = state.apply({ index: 1, proposedAt: 1_000, command: submit.command })
  if (answer) bench.client.receive('v1', { kind: 'command.outcome', commandId: submit.commandId, outcome }, bench.context)
}

function takeKey (bench: Bench, attemptId: string, results: CommandResult[], deadlineAt = 1_000): void {
  bench.ledger.take({ claimKey: 'k', attemptId, keyCreatedAt: 1_000, fingerprint: 'f', deadlineAt, onOutcome: result => results.push(result) }, bench.context)
}

describe('createLedgerClient', () => {
  it('records a claim whose commit was never confirmed as not run, so that another attempt can take the key', () => {
    const bench = createBench()
    const state = createReplicatedState()
    const results: CommandResult[] = []
    takeKey(bench, 'r1.1', results)
    commit(bench, state, bench.listSubmits('claim.take')[0]!, false)
    bench.advanceTo(1_000)
    expect(results).toEqual([{ kind: 'unknown' }])
    expect(bench.ledger.getPendingCount()).toEqual(1)
    commit(bench, state, bench.listSubmits('claim.finish').at(-1)!, true)
    expect(bench.ledger.getPendingCount()).toEqual(0)
    expect(state.answerQuery({ kind: 'claims', state: 'notRun', limit: 9 }) as unknown[]).toHaveLength(1)
    takeKey(bench, 'r2.1', results, 9_000)
    commit(bench, state, bench.listSubmits('claim.take').at(-1)!, true)
    expect(results[1]).toEqual({ kind: 'outcome', outcome: { kind: 'claim.taken' } })
  })

  it('does not let a delayed take claim the key after its attempt timed out', () => {
    const bench = createBench()
    const state = createReplicatedState()
    takeKey(bench, 'r1.1', [])
    const delayed = bench.listSubmits('claim.take')[0]!
    bench.advanceTo(1_000)
    commit(bench, state, bench.listSubmits('claim.finish')[0]!, true)
    expect(state.apply({ index: 2, proposedAt: 1_000, command: delayed.command }).kind).toEqual('claim.held')
  })

  it('answers a resent take with claim.taken when the first answer was lost', () => {
    const bench = createBench()
    const state = createReplicatedState()
    const results: CommandResult[] = []
    takeKey(bench, 'r1.1', results, 9_000)
    commit(bench, state, bench.listSubmits('claim.take')[0]!, false)
    bench.advanceTo(500)
    commit(bench, state, bench.listSubmits('claim.take')[1]!, true)
    expect(results).toEqual([{ kind: 'outcome', outcome: { kind: 'claim.taken' } }])
  })

  it('resends an outcome until it is recorded, however long the voters do not answer', () => {
    const bench = createBench()
    const recorded: string[] = []
    bench.ledger.finish({ claimKey: 'k', attemptId: 'a', outcome: { kind: 'unknown', reason: 'cut' }, onOutcome: result => recorded.push(result.kind) }, bench.context)
    bench.advanceTo(3_600_000)
    expect(recorded).toEqual([])
    commit(bench, createReplicatedState(), bench.getLastSubmit(), true)
    expect(recorded).toEqual(['outcome'])
  })

  it('records outcomes without the bodies of their answers while too many bytes are waiting', () => {
    const bench = createBench()
    const body = 'x'.repeat(6 * 1024 * 1024)
    for (const attemptId of ['a', 'b', 'c']) bench.ledger.finish({ claimKey: attemptId, attemptId, outcome: { kind: 'done', answer: { status: 200, body } } }, bench.context)
    const kept = bench.listSubmits('claim.finish').map(({ command }) => command.kind === 'claim.finish' && command.outcome.kind === 'done' && command.outcome.answer?.body !== undefined)
    expect(kept).toEqual([true, true, false])
  })
})
