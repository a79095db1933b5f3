import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createCommandClient, createLedgerClient } from '@catkinferry/settings.command-client'
import type { CommandClient, HostLedgerClient } from '@catkinferry/settings.command-client'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { AuditPage, ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, CommandResult, PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

const VOTERS = ['v1', 'v2', 'v3']
const STEP_MS = 50
const operator = { name: 'op', role: 'write', from: '10.0.0.1' } as const

/** Three voters with one log. The leader changes, messages are lost and voters restart from a snapshot; the log itself loses nothing. */
interface Group {
  readonly log: Command[]
  readonly handle: (to: HostId, message: PeerMessage, random: Random) => void
  readonly changeLeader: (random: Random) => void
  readonly restart: (random: Random) => void
  readonly getState: () => ReplicatedState
}

function createGroup (deliver: (from: HostId, message: PeerMessage) => void): Group {
  const log: Command[] = []
  const states = VOTERS.map(() => createReplicatedState())
  let leader = 0

  return {
    log,
    getState: () => states[leader]!,
    changeLeader: random => { leader = random.nextInt(0, 2) },
    restart: random => {
      const index = random.nextInt(0, 2)
      const snapshot = states[index]!.takeSnapshot()
      states[index] = createReplicatedState()
      states[index].restoreSnapshot(snapshot)
    },
    handle: (to, message, random) => {
      if (message.kind !== 'command.submit') return
      const { commandId, command } = message
      if (VOTERS[leader] !== to) {
        const hint = random.nextFraction() < 0.5 ? { leader: VOTERS[leader] } : {}
        deliver(to, { kind: 'command.refused', commandId, reason: 'notLeader', ...hint })
        return
      }
      log.push(command)
      const outcomes = states.map(state => state.apply({ index: log.length, proposedAt: 1_000 + log.length, command }))
      deliver(to, { kind: 'command.outcome', commandId, outcome: outcomes[leader]! })
    }
  }
}

interface World {
  readonly client: CommandClient
  readonly ledger: HostLedgerClient
  readonly group: Group
  readonly getContext: () => RunContext
  readonly advance: (ms: number) => void
  loss: number
}

function createWorld (seed: number): World {
  const random = createRandom(seed)
  let now = 0
  let queue: { at: number, act: () => void }[] = []
  const world: World = {
    client: createCommandClient({ host: 'h', voters: () => VOTERS, random: createRandom(seed + 1) }),
    ledger: undefined as never,
    group: undefined as never,
    loss: 0.3,
    getContext: () => ({
      now,
      wallNow: 1_000 + now,
      emit: () => {},
      send: (to, message) => { post(() => { world.group.handle(to, message, random) }) }
    }),
    advance: ms => {
      for (const end = now + ms; now < end;) {
        now += STEP_MS
        const due = queue.filter(entry => entry.at <= now)
        queue = queue.filter(entry => entry.at > now)
        for (const { act } of due) act()
        if (random.nextFraction() < 0.05) world.group.changeLeader(random)
        if (random.nextFraction() < 0.05) world.group.restart(random)
        world.client.run(world.getContext())
      }
    }
  }
  function post (act: () => void): void {
    if (random.nextFraction() >= world.loss) queue.push({ at: now + random.nextInt(1, 900), act })
  }
  const group = createGroup((from, message) => { post(() => { world.client.receive(from, message as never, world.getContext()) }) })
  return Object.assign(world, { group, ledger: createLedgerClient({ host: 'h', client: world.client }) })
}

function countAccepted (state: ReplicatedState): Map<string, number> {
  const page = state.answerQuery({ kind: 'audit', afterSequence: 0, limit: 1_000 }) as AuditPage
  const counts = new Map<string, number>()
  for (const { changeId, outcome } of page.entries) {
    if (outcome === 'accepted') counts.set(changeId, (counts.get(changeId) ?? 0) + 1)
  }
  return counts
}

describe('commands under lost answers, leader changes and restarts', () => {
  it('applies a change at most once, reports its first answer, and reports refused only for changes that are not in the log', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 100_000 }), seed => {
      const world = createWorld(seed)
      const results = new Map<string, CommandResult>()
      for (let index = 0; index < 12; index++) {
        const changeId = `c${index}`
        const command: Command = { kind: 'settings.change', changeId, operator, changes: [{ path: `fleet/r${index % 3}`, expectedRevision: 0, values: { 'queue.limit': index + 1 } }] }
        const deadlineAt = world.getContext().now + 200 + index * 300
        world.client.submit({ command, deadlineAt, onOutcome: result => { results.set(changeId, result) } }, world.getContext())
        world.advance(300)
      }
      world.advance(10_000)
      const accepted = countAccepted(world.group.getState())
      expect(results.size).toEqual(12)
      expect([...accepted.values()].every(count => count === 1)).toEqual(true)
      expect(accepted.size <= 3).toEqual(true)
      for (const [changeId, result] of results) {
        const isLogged = world.group.log.some(command => command.kind === 'settings.change' && command.changeId === changeId)
        if (result.kind === 'refused') expect(isLogged).toEqual(false)
        if (result.kind === 'outcome') expect(result.outcome.kind === 'settings.accepted').toEqual(accepted.has(changeId))
      }
    }), { seed: 1, numRuns: 150 })
  })

  it('lets one attempt at a time hold a key and leaves no claim open, while attempts retry repeatedly', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 100_000 }), seed => {
      const world = createWorld(seed)
      const { ledger } = world
      const held: { attemptId: string, until: number }[] = []
      const retryAt = new Map<string, number>()

      function take (attemptId: string): void {
        const { now } = world.getContext()
        ledger.take({
          claimKey: 'k',
          attemptId,
          keyCreatedAt: 1_000,
          fingerprint: 'f',
          deadlineAt: now + 2_000,
          onOutcome: (result, context) => {
            const isTaken = result.kind === 'outcome' && result.outcome.kind === 'claim.taken'
            if (isTaken) held.push({ attemptId, until: context.now + 700 })
            else retryAt.set(attemptId, context.now + 400)
            expect(held.length <= 1).toEqual(true)
          }
        }, world.getContext())
      }

      for (let index = 0; index < 5; index++) take(`r${index}.1`)
      for (let step = 0; step < 200; step++) {
        world.advance(100)
        const { now } = world.getContext()
        if (held[0] !== undefined && held[0].until <= now) {
          const { attemptId } = held.pop()!
          ledger.finish({ claimKey: 'k', attemptId, outcome: { kind: 'notRun', reason: 'no grant' } }, world.getContext())
        }
        for (const [attemptId, at] of retryAt) {
          if (at > now || step > 150) continue
          retryAt.delete(attemptId)
          take(attemptId)
        }
      }
      world.loss = 0
      for (const { attemptId } of held) ledger.finish({ claimKey: 'k', attemptId, outcome: { kind: 'done' } }, world.getContext())
      world.advance(30_000)
      expect(ledger.getPendingCount()).toEqual(0)
      expect(world.group.getState().answerQuery({ kind: 'claims', state: 'open', limit: 9 }) as unknown[]).toEqual([])
    }), { seed: 2, numRuns: 100 })
  })
})
