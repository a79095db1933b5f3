/**
 * Experiment: memory that the settings take at the target size, in a voter's replicated state and in the view of a host
 * without a disk. The memory of the same hosts without settings is subtracted.
 */
import { createRandom } from '@catkinferry/core.random'
import type { PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createDissemination } from '@catkinferry/settings.dissemination'
import type { Dissemination } from '@catkinferry/settings.dissemination'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, SettingsMessage } from '@catkinferry/wire.messages'
import { decode, encode } from 'cbor-x'
import type { Experiment, ExperimentResults } from '../experiment.ts'
import { listCreations, listDailyChanges } from '../memory/adapterCommands.ts'
import { createHeap } from '../memory/heap.ts'

const ADAPTERS = 120_000
const CHANGES = 4_600
const WALL_START_MS = 1_800_000_000_000
/** 4,600 changes spread evenly over a day. */
const CHANGE_INTERVAL_MS = 18_783
const STEP_MS = 10
const SETTLE_MS = 60_000
const TENTHS = 10

const PEERS: readonly PeerRow[] = ['voter-1', 'host-1'].map((host, index) => ({
  host, zone: `zone-${index}`, region: 'region-0', address: '', voter: index === 0, leaseVoter: true
}))

/** A voter and a host without a disk that exchange encoded messages on virtual time. */
interface Pair {
  readonly state: ReplicatedState
  readonly host: Dissemination
  readonly apply: (command: Command) => void
  readonly settle: () => void
}

function createPair (seed: number): Pair {
  const state = createReplicatedState()
  const systems = new Map<string, Dissemination>(PEERS.map((self, index) => [self.host, createDissemination({
    self, peers: PEERS, random: createRandom(seed + index), ...(self.voter ? { voterState: state, isInContact: () => true } : {})
  })]))
  let queue: { from: string, to: string, data: Uint8Array }[] = []
  let now = 0
  let index = 0

  function createContext (from: string): RunContext {
    return { now, wallNow: WALL_START_MS + now, emit: () => {}, send: (to, message) => { queue.push({ from, to, data: encode(message) }) } }
  }

  function step (): void {
    now += STEP_MS
    const due = queue
    queue = []
    for (const { from, to, data } of due) systems.get(to)?.receive(from, decode(data) as SettingsMessage, createContext(to))
    for (const [host, system] of systems) system.run(createContext(host))
  }

  return {
    state,
    host: systems.get('host-1')!,
    apply: command => {
      index++
      const outcome = state.apply({ index, proposedAt: WALL_START_MS + index * CHANGE_INTERVAL_MS, command })
      if (outcome.kind !== 'settings.accepted') throw new Error(`change ${index} was not accepted: ${JSON.stringify(outcome)}`)
    },
    settle: () => {
      const end = now + SETTLE_MS
      while (now < end) step()
    }
  }
}

function roundToTenth (value: number): number {
  return Math.round(value * TENTHS) / TENTHS
}

async function run (opts: { seed: number }): Promise<ExperimentResults> {
  const heap = createHeap()
  const random = createRandom(opts.seed)
  const pair = createPair(opts.seed)
  const { state, host } = pair
  pair.settle()
  const emptyMb = heap.readMb()
  for (const command of listCreations(ADAPTERS, random)) pair.apply(command)
  const getRevision = (path: string): number => state.getTree().getNode(path)?.revision ?? 0
  for (const command of listDailyChanges({ count: CHANGES, adapters: ADAPTERS, random, getRevision })) pair.apply(command)
  const voterMb = heap.readMb() - emptyMb
  pair.settle()
  if (host.view.getRevision() !== state.getRevision()) throw new Error('host view did not reach the revision of the voter after settling')
  const bothMb = heap.readMb() - emptyMb
  const snapshotStartedAt = performance.now()
  const snapshot = state.takeSnapshot()
  const snapshotMs = performance.now() - snapshotStartedAt
  const restoreStartedAt = performance.now()
  createReplicatedState().restoreSnapshot(snapshot)
  const restoreMs = performance.now() - restoreStartedAt
  return {
    adapters: ADAPTERS,
    changes: CHANGES,
    nodes: state.getTree().countNodes(),
    heapGrowthMb: roundToTenth(bothMb),
    voterStateMb: roundToTenth(voterMb),
    hostViewMb: roundToTenth(bothMb - voterMb),
    snapshotBytes: snapshot.length,
    snapshotMs: roundToTenth(snapshotMs),
    restoreMs: roundToTenth(restoreMs)
  }
}

/** `heapGrowthMb` counts a voter's state and a second host's view together; a real host has only one of them. */
export const memory: Experiment = {
  name: 'memory',
  description: 'memory of 120,000 adapters and 4,600 changes: a voter\'s state and a host\'s view',
  targets: [{ key: 'heapGrowthMb', bound: 'atMost', value: 60, unit: 'MB' }],
  run
}
