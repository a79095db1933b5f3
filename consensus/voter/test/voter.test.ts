import { describe, it } from 'node:test'
import { expect } from 'earl'
import { MAX_PENDING_COMMANDS, MIN_COMPACT_BYTES, TAIL_RATIO } from '../src/index.ts'
import { createVoterGroup } from './voterGroup.ts'

const HOSTS = ['a', 'b', 'c']

function createStartedGroup (seed: number, spares: string[] = []) {
  const group = createVoterGroup({ hosts: HOSTS, seed, spares })
  group.runFor(5_000)
  const leader = group.findLeader()
  const [first, second] = HOSTS.filter(host => host !== leader) as [string, string]
  return { group, leader, first, second }
}

describe('commands', () => {
  it('are forwarded to the leader and answered to their origin once applied', () => {
    const { group, leader, first } = createStartedGroup(1)
    group.submit(first, 'x')
    group.runFor(100)
    expect(group.answers.map(answer => answer.kind)).toEqual(['command.outcome'])
    expect(group.getNode(leader).applied.map(({ changeId }) => changeId)).toEqual(['x'])
  })

  it('are refused as busy beyond the limit', () => {
    const { group, leader } = createStartedGroup(2)
    for (let n = 0; n <= MAX_PENDING_COMMANDS; n++) group.submit(leader, `x${n}`)
    group.runFor(1_000)
    expect(group.answers.filter(({ kind }) => kind === 'command.refused').length).toEqual(1)
    expect(group.getNode(leader).applied.length).toEqual(MAX_PENDING_COMMANDS)
  })

  it('are refused only once another entry is committed at their index', () => {
    const { group, leader, first } = createStartedGroup(3)
    group.cut.add(leader)
    group.submit(leader, 'lost')
    group.runFor(5_000)
    const next = group.findLeader()
    group.submit(next, 'kept')
    group.runFor(1_000)
    group.cut.delete(leader)
    group.runFor(3_000)
    expect(group.answers.map(answer => answer.kind === 'command.refused' ? answer.commandId : answer.kind)).toEqual(['command.outcome', 'lost'])
    expect(group.getNode(first).applied.map(({ changeId }) => changeId)).toEqual(['kept'])
  })

  /** Guards against commands whose way cannot be told from the logs: passed on, to whom and in which term, and how long they took. */
  it('that are passed on or take long, and changes of the leader, are logged', () => {
    const { group, leader, first, second } = createStartedGroup(5)
    const takeLines = (): Record<string, unknown>[] => group.outputs.splice(0).flatMap(output => output.kind === 'log' ? [{ ...output.fields, message: output.message }] : [])
    const { term } = group.getVoter(leader).getStatus()
    takeLines()
    group.submit(first, 'x')
    expect(takeLines()).toEqual([{ message: 'passed a command on to the leader', step: 'command', peer: leader, term, command: 'settings.change', commandId: 'x', origin: 'caller', hops: 0 }])
    group.runFor(100)
    for (const host of [first, second]) group.cut.add(host)
    for (const id of ['y', 'z']) {
      group.submit(leader, id)
      group.runFor(100)
    }
    group.runFor(300)
    for (const host of [first, second]) group.cut.delete(host)
    group.runFor(1_500)
    expect(takeLines().filter(({ step }) => step === 'command').map(fields => ['message', 'term', 'commandId', 'commands', 'entriesBefore', 'unlogged'].map(name => fields[name]))).toEqual([['commands took long on the leader', term, 'y', 1, 0, 0]])
    group.cut.add(leader)
    group.runFor(5_000)
    const messages = takeLines().map(({ message }) => message)
    expect(['this voter no longer leads', 'this voter became the leader', 'this voter follows a new leader'].filter(message => !messages.includes(message))).toEqual([])
  })

  it('get proposal times that never go back when leadership moves to a host with a slower clock', () => {
    const { group, leader, first, second } = createStartedGroup(4)
    group.getNode(leader).wallSkewMs = 60_000
    group.submit(leader, 'x')
    group.runFor(100)
    group.kill(leader)
    group.runFor(5_000)
    group.submit(group.findLeader(), 'y')
    group.runFor(500)
    for (const host of [first, second]) {
      const [x, y] = group.getNode(host).applied
      expect(x !== undefined && y !== undefined && y.proposedAt >= x.proposedAt).toEqual(true)
    }
  })
})

describe('reads', () => {
  it('see earlier commands when fresh, and get no answer from a leader that is cut off', () => {
    const { group, leader, first } = createStartedGroup(5)
    group.submit(leader, 'x')
    group.runFor(100)
    group.sendQuery(first, true)
    group.runFor(100)
    expect(group.answers.at(-1)).toEqual({ kind: 'query.answer', queryId: 'q', answer: ['x'], leader })
    const before = group.answers.length
    group.sendQuery(leader, true)
    group.cut.add(leader)
    group.runFor(10_000)
    expect(group.answers.length).toEqual(before)
    group.cut.delete(leader)
  })
})

describe('compaction', () => {
  it('keeps the state and its proposal times across a restart from the snapshot', () => {
    const { group, leader } = createStartedGroup(6)
    const padding = 'x'.repeat(60_000)
    for (let n = 0; n < 200; n++) {
      group.submit(leader, `x${n}`, padding)
      group.runFor(10)
    }
    group.runFor(1_000)
    expect(group.getVoter(leader).getStatus().snapshotIndex > 0).toEqual(true)
    group.kill(leader)
    group.start(leader)
    group.runFor(5_000)
    expect(group.getNode(leader).applied.length).toEqual(200)
    expect(group.getNode(leader).applied.every(({ proposedAt }, at, all) => proposedAt >= (all[at - 1]?.proposedAt ?? 0))).toEqual(true)
  })
})

/** Time within which a voter must count again after it is back, and the bandwidth of the slowest link. */
const CATCH_UP_MS = 4_000
const LINK_BYTES_PER_MS = 2_600
const CHANGE_BYTES = 80_000
/** Entries that may be on their way to a voter that follows the log. */
const IN_FLIGHT_ENTRIES = 2

type LargeGroup = ReturnType<typeof createVoterGroup>

/** How a voter comes to lack entries, and how it returns; the result is the host that has to catch up. */
const absences: Readonly<Record<string, (group: LargeGroup, leader: string, host: string, goOn: (ms: number) => void) => string>> = {
  'whose disk was lost': (group, leader, host) => {
    group.kill(host)
    group.getNode(host).disk = { group: 'g', incarnation: `${host}#2`, hardState: { term: 0 }, entries: [] }
    group.start(host)
    group.act(leader, (voter, context) => voter.beginReplacement({ remove: host, add: host }, context))
    return host
  },
  'that takes the place of another': (group, leader, host) => {
    group.act(leader, (voter, context) => voter.beginReplacement({ remove: host, add: 'd' }, context))
    return 'd'
  },
  'that was cut off': (group, _, host, goOn) => {
    group.cut.add(host)
    goOn(60_000)
    group.cut.delete(host)
    return host
  }
}

describe('a voter', () => {
  for (const [absence, make] of Object.entries(absences)) {
    for (const changesPerSecond of [0, 10, 20]) {
      /** Guards against a voter that gets the whole log, counted in entries, where a snapshot is a hundredth of it: the next loss ended the group. */
      it(`${absence} counts within ${CATCH_UP_MS} ms after hundreds of large changes, beside ${changesPerSecond} changes a second`, () => {
        const group = createVoterGroup({ hosts: HOSTS, spares: ['d'], seed: 11, bytesPerMs: LINK_BYTES_PER_MS, snapshotPadding: 200_000 })
        group.runFor(5_000)
        const leader = group.findLeader()
        const [host, other] = HOSTS.filter(known => known !== leader) as [string, string]
        let changes = 0
        const goOn = (ms: number): void => {
          for (const end = group.getNow() + ms; group.getNow() < end;) {
            if (changesPerSecond > 0) group.submit(leader, `x${changes++}`, 'x'.repeat(CHANGE_BYTES))
            group.runFor(1_000 / Math.max(1, changesPerSecond))
          }
        }
        for (let count = 0; count < 400; count++) {
          group.submit(leader, `x${changes++}`, 'x'.repeat(CHANGE_BYTES))
          group.runFor(60)
        }
        group.runFor(2_000)
        const absent = make(group, leader, host, goOn)
        goOn(CATCH_UP_MS)
        const { membership, commitIndex } = group.getVoter(leader).getStatus()
        const { appliedIndex } = group.getVoter(absent).getStatus()
        expect({ isVoter: membership.voters.some(voter => voter.host === absent), lag: Math.max(0, commitIndex - appliedIndex - IN_FLIGHT_ENTRIES) }).toEqual({ isVoter: true, lag: 0 })
        const catchUps = group.outputs.flatMap(output => output.kind === 'log' && output.fields.step === 'catchUp' && output.fields.peer === absent ? [output.fields.by] : [])
        expect(catchUps).toEqual(absence === 'that was cut off' && changesPerSecond === 0 ? [] : ['snapshot'])
        group.kill(other)
        group.submit(leader, 'after the next loss')
        group.runFor(2_000)
        expect(group.getNode(absent).applied.at(-1)?.changeId).toEqual('after the next loss')
      })
    }
  }

  /** Guards against core hosts that end for want of heap: the log in memory was limited by entries and not by bytes. */
  it('keeps a log in memory that is limited in bytes', () => {
    const { group, leader } = createStartedGroup(12)
    for (let count = 0; count < 1_000; count++) {
      group.submit(leader, `x${count}`, 'x'.repeat(CHANGE_BYTES))
      group.runFor(10)
    }
    const sizes = group.outputs.flatMap(output => output.kind === 'metric' && output.name === 'voter.log_bytes' ? [output.value] : [])
    // The tail, and what is added until the next snapshot is taken and durable.
    expect(sizes.length > 0 && Math.max(...sizes) <= (TAIL_RATIO + 2) * MIN_COMPACT_BYTES).toEqual(true)
  })
})

describe('replacement of a voter', () => {
  it('adds a new voter, removes the lost one, and survives the next loss', () => {
    const { group, leader, first, second } = createStartedGroup(7, ['d'])
    group.submit(leader, 'x')
    group.kill(first)
    group.runFor(2_000)
    const begun = group.act(leader, (voter, context) => voter.beginReplacement({ remove: first, add: 'd' }, context))
    expect(begun.ok).toEqual(true)
    group.runFor(5_000)
    expect(group.getVoter(leader).getStatus().replacement).toEqual({ remove: first, add: 'd', state: 'done', steps: ['addLearner d', `remove ${first}`, 'promote d'] })
    group.kill(second)
    group.submit(leader, 'y')
    group.runFor(2_000)
    expect(group.getNode('d').applied.map(({ changeId }) => changeId)).toEqual(['x', 'y'])
  })

  it('waits and reports the reason while the new host does not answer', () => {
    const { group, leader, first } = createStartedGroup(8, ['d'])
    group.kill('d')
    group.act(leader, (voter, context) => voter.beginReplacement({ remove: first, add: 'd' }, context))
    group.runFor(3_000)
    const { replacement, membership } = group.getVoter(leader).getStatus()
    expect(replacement?.state).toEqual('running')
    expect(replacement?.waitingFor).toEqual("membership step 'promote' of host 'd' is refused: its data folder is not known yet")
    expect(membership.voters.length).toEqual(3)
  })

  it('accepts a host again that lost its disk', () => {
    const { group, leader, first } = createStartedGroup(9)
    group.kill(first)
    group.getNode(first).disk = { group: 'g', incarnation: `${first}#2`, hardState: { term: 0 }, entries: [] }
    group.start(first)
    group.runFor(2_000)
    group.act(leader, (voter, context) => voter.beginReplacement({ remove: first, add: first }, context))
    group.runFor(5_000)
    const { replacement, membership } = group.getVoter(leader).getStatus()
    expect(replacement?.state).toEqual('done')
    expect(membership.voters.find(({ host }) => host === first)?.incarnation).toEqual(`${first}#2`)
  })
})
