/** Experiment: how long a group of voters takes to restart, to add a new voter and to replace a lost leader, over real files and TCP on loopback. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createRandom } from '@catkinferry/core.random'
import type { Command } from '@catkinferry/wire.messages'
import type { Experiment, ExperimentResults } from '../experiment.ts'
import { listCreations } from '../memory/adapterCommands.ts'
import { createVoterNodes, waitUntil } from '../recovery/voterNodes.ts'
import type { VoterNodes } from '../recovery/voterNodes.ts'

const VOTERS = ['voter-1', 'voter-2', 'voter-3']
const NEW_VOTER = 'voter-4'
const DEFAULT_CHANGES = 10_000
const DEFAULT_ADAPTERS = 120_000
const DEFAULT_FAILOVERS = 5
const SETTLE_MS = 1_500
const SUBMIT_TIMEOUT_MS = 250
const RETRY_PAUSE_MS = 10

const operator = { name: 'operator', role: 'write', from: '10.0.0.1' } as const

function createChange (changeId: string, path: string): Command {
  return { kind: 'settings.change', changeId, operator, changes: [{ path, expectedRevision: 0, values: { 'queue.limit': 1_000 } }] }
}

function * listChanges (count: number): IterableIterator<Command> {
  for (let index = 0; index < count; index++) yield createChange(`change-${index}`, `fleet/region-${index % 6}/zone-${index}`)
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Runs `work` on three voters with empty data folders, which are removed afterwards. */
async function runWithVoters<T> (seed: number, work: (nodes: VoterNodes) => Promise<T>): Promise<T> {
  const folder = await mkdtemp(join(tmpdir(), 'catkinferry-recovery-'))
  const nodes = createVoterNodes({ folder, initialVoters: VOTERS, seed })
  try {
    for (const host of VOTERS) await nodes.start(host)
    await nodes.waitForLeader()
    return await work(nodes)
  } finally {
    await nodes.stopAll()
    await rm(folder, { recursive: true, force: true })
  }
}

/** Restarts one follower, then all voters. */
async function measureRestart (seed: number, changes: number): Promise<ExperimentResults> {
  return await runWithVoters(seed, async nodes => {
    const submittedAt = performance.now()
    await nodes.submitAll(listChanges(changes))
    const changesPerSecond = Math.round(changes / (performance.now() - submittedAt) * 1_000)
    const leader = await nodes.waitForLeader()
    const revision = leader.state.getRevision()
    const follower = VOTERS.find(host => host !== leader.host) as string
    await nodes.stop(follower)
    const startedAt = performance.now()
    const node = await nodes.start(follower)
    await waitUntil(() => node.state.getRevision() >= revision)
    const startMs = performance.now() - startedAt
    for (const host of VOTERS) await nodes.stop(host)
    const groupStartedAt = performance.now()
    for (const host of VOTERS) await nodes.start(host)
    await submitUntilAccepted(nodes, VOTERS, 'after-start')
    const groupStartMs = performance.now() - groupStartedAt
    return { startMs: Math.round(startMs), openMs: Math.round(node.openMs), groupStartMs: Math.round(groupStartMs), changesPerSecond }
  })
}

/** Adds a voter to a group that has all adapters, and waits until it is a member of the voter set. */
async function measureCatchUp (seed: number, adapters: number): Promise<ExperimentResults> {
  return await runWithVoters(seed, async nodes => {
    await nodes.submitAll(listCreations(adapters, createRandom(seed)))
    const leader = await nodes.waitForLeader()
    const revision = leader.state.getRevision()
    const { snapshotIndex } = leader.voter.getStatus()
    const startedAt = performance.now()
    const node = await nodes.start(NEW_VOTER)
    leader.runOnVoter((voter, context) => voter.beginReplacement({ add: NEW_VOTER }, context))
    await waitUntil(() => node.state.getRevision() >= revision)
    const appliedMs = performance.now() - startedAt
    await waitUntil(() => leader.voter.getStatus().replacement?.state === 'done')
    const catchUpMs = performance.now() - startedAt
    return { catchUpMs: Math.round(catchUpMs), appliedMs: Math.round(appliedMs), leaderSnapshotIndex: snapshotIndex, snapshotMb: Number((leader.state.takeSnapshot().byteLength / 2 ** 20).toFixed(1)) }
  })
}

/** Submits one change to the voters in turn, as a client does, until one answers with its outcome. */
async function submitUntilAccepted (nodes: VoterNodes, hosts: readonly string[], name: string): Promise<void> {
  for (let round = 0; ; round++) {
    const host = hosts[round % hosts.length] as string
    const answer = await nodes.get(host).submit(createChange(name, `fleet/${name}`), SUBMIT_TIMEOUT_MS)
    if (answer?.kind === 'command.outcome') return
    await pause(RETRY_PAUSE_MS)
  }
}

/** Stops the leader abruptly once per round; the stopped voter is started again before the next round. */
async function measureFailover (seed: number, failovers: number): Promise<ExperimentResults> {
  return await runWithVoters(seed, async nodes => {
    const durationsMs: number[] = []
    for (let round = 0; round < failovers; round++) {
      const leader = await nodes.waitForLeader()
      const lostAt = performance.now()
      await nodes.stop(leader.host)
      await submitUntilAccepted(nodes, VOTERS.filter(host => host !== leader.host), `failover-${round}`)
      durationsMs.push(Math.round(performance.now() - lostAt))
      await nodes.start(leader.host)
      await pause(SETTLE_MS)
    }
    const sorted = durationsMs.sort((a, b) => a - b)
    return { failoverMs: sorted.at(-1), failoverMsMedian: sorted[Math.floor(sorted.length / 2)], failovers }
  })
}

export const recovery: Experiment = {
  name: 'recovery',
  description: 'voters over real files and TCP: a restart, a new voter, and the loss of the leader (worst of several)',
  targets: [
    { key: 'startMs', bound: 'atMost', value: 1_000, unit: 'ms' },
    { key: 'catchUpMs', bound: 'atMost', value: 10_000, unit: 'ms' },
    { key: 'failoverMs', bound: 'atMost', value: 3_000, unit: 'ms' }
  ],
  run: async ({ seed, flags }) => {
    const changes = Number(flags.changes ?? DEFAULT_CHANGES)
    const adapters = Number(flags.adapters ?? DEFAULT_ADAPTERS)
    const failovers = Number(flags.failovers ?? DEFAULT_FAILOVERS)
    return {
      changes,
      adapters,
      ...await measureRestart(seed, changes),
      ...await measureCatchUp(seed, adapters),
      ...await measureFailover(seed, failovers)
    }
  }
}
