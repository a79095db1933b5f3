/** Group of voters of the recovery experiment, in one process, each with its own data folder and sockets. */
import { join } from 'node:path'
import type { Command } from '@catkinferry/wire.messages'
import { startVoterNode } from './voterNode.ts'
import type { VoterNode } from './voterNode.ts'

const POLL_MS = 2
const ANSWER_TIMEOUT_MS = 60_000
const MAX_IN_FLIGHT = 256
/** Delay before a refused command is submitted again. */
const RESUBMIT_DELAY_MS = 50
const MAX_ATTEMPTS = 100

export interface VoterNodes {
  readonly start: (host: string) => Promise<VoterNode>
  readonly stop: (host: string) => Promise<void>
  readonly stopAll: () => Promise<void>
  readonly get: (host: string) => VoterNode
  readonly waitForLeader: () => Promise<VoterNode>
  /** Submits all commands to the leader, many at once; throws if one is not accepted. */
  readonly submitAll: (commands: Iterable<Command>) => Promise<void>
}

export async function waitUntil (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, POLL_MS))
}

/** Creates the group; nothing runs before `start`. */
export function createVoterNodes (opts: { readonly folder: string, readonly initialVoters: readonly string[], readonly seed: number }): VoterNodes {
  const ports = new Map<string, number>()
  const nodes = new Map<string, VoterNode>()

  async function start (host: string): Promise<VoterNode> {
    const node = await startVoterNode({ host, folder: join(opts.folder, host), initialVoters: opts.initialVoters, seed: opts.seed * 100 + nodes.size, ports })
    nodes.set(host, node)
    for (const other of nodes.values()) other.connect()
    return node
  }

  async function stop (host: string): Promise<void> {
    await nodes.get(host)?.stop()
    nodes.delete(host)
  }

  /** Waits for a leader that has committed its whole log with an entry of its term, so that the group can continue without it. */
  async function waitForLeader (): Promise<VoterNode> {
    const find = (): VoterNode | undefined => [...nodes.values()].find(({ voter }) => voter.isLeader() && voter.getStatus().commitIndex === voter.getStatus().lastIndex)
    await waitUntil(() => find() !== undefined)
    return find() as VoterNode
  }

  /**
   * Submits to the current leader, as a client must. A refusal for lack of a leader proves that nothing was committed, so
   * the same command is submitted again.
   */
  async function submitOne (first: VoterNode, command: Command): Promise<void> {
    let leader = first
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const answer = await leader.submit(command, ANSWER_TIMEOUT_MS)
      if (answer?.kind === 'command.outcome' && answer.outcome.kind === 'settings.accepted') return
      if (answer?.kind !== 'command.refused') throw new Error(`change was not accepted: ${JSON.stringify(answer)}`)
      await new Promise(resolve => setTimeout(resolve, RESUBMIT_DELAY_MS))
      leader = await waitForLeader()
    }
    throw new Error(`change was refused ${MAX_ATTEMPTS} times for lack of a leader`)
  }

  return {
    start,
    stop,
    waitForLeader,
    stopAll: async () => { for (const host of [...nodes.keys()]) await stop(host) },
    get: host => {
      const node = nodes.get(host)
      if (node === undefined) throw new Error(`voter ${host} is not running`)
      return node
    },
    submitAll: async commands => {
      const leader = await waitForLeader()
      const inFlight = new Set<Promise<void>>()
      for (const command of commands) {
        const sent = submitOne(leader, command).finally(() => inFlight.delete(sent))
        inFlight.add(sent)
        if (inFlight.size >= MAX_IN_FLIGHT) await Promise.race(inFlight)
      }
      await Promise.all(inFlight)
    }
  }
}
