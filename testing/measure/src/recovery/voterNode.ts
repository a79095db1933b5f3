/** Voter of the recovery experiment, over real files and TCP: the parts of the daemon that a voter needs, without the rest. */
import { openDurableLog } from '@catkinferry/consensus.durable-log'
import { createVoter } from '@catkinferry/consensus.voter'
import type { Voter, VoterMessage } from '@catkinferry/consensus.voter'
import { createLogger } from '@catkinferry/core.logger'
import { createRandom } from '@catkinferry/core.random'
import type { RunContext } from '@catkinferry/host.events'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, CommandMessage, PeerMessage } from '@catkinferry/wire.messages'
import { createPeerLinks } from '@catkinferry/wire.peer-links'

export interface VoterNodeOptions {
  readonly host: string
  readonly folder: string
  readonly initialVoters: readonly string[]
  readonly seed: number
  /** Ports by host; a node adds its own when it listens. */
  readonly ports: Map<string, number>
}

export interface VoterNode {
  readonly host: string
  readonly voter: Voter
  readonly state: ReplicatedState
  /** Time to open the data folder and restore the state. */
  readonly openMs: number
  /** Submits a command to this voter; resolves to undefined if no answer comes within `timeoutMs`. */
  readonly submit: (command: Command, timeoutMs: number) => Promise<CommandMessage | undefined>
  readonly runOnVoter: <T>(work: (voter: Voter, context: RunContext) => T) => T
  /** Opens links to all hosts whose ports are known. */
  readonly connect: () => void
  /** Stops abruptly, without notice to the peers: closes the links and releases the data folder. */
  readonly stop: () => Promise<void>
}

const GROUP = 'measure'
const CLIENT = 'client'

/** Matches answers to commands by command id. */
function createPendingCommands (host: string) {
  const waiting = new Map<string, (answer: CommandMessage) => void>()
  let nextCommand = 0
  return {
    receive: (message: PeerMessage) => {
      const answer = message as CommandMessage
      const commandId = 'commandId' in answer ? answer.commandId : ''
      waiting.get(commandId)?.(answer)
      waiting.delete(commandId)
    },
    wait: (timeoutMs: number, send: (commandId: string) => void) => new Promise<CommandMessage | undefined>(resolve => {
      const commandId = `${host}-${nextCommand++}`
      const timeout = setTimeout(() => {
        waiting.delete(commandId)
        resolve(undefined)
      }, timeoutMs)
      waiting.set(commandId, answer => {
        clearTimeout(timeout)
        resolve(answer)
      })
      send(commandId)
    })
  }
}

/** Opens the data folder, listens for peers and starts the voter. */
export async function startVoterNode (opts: VoterNodeOptions): Promise<VoterNode> {
  const { host, ports } = opts
  const startedAt = performance.now()
  const log = await openDurableLog({ folder: opts.folder, host, group: GROUP })
  const state = createReplicatedState()
  const voter = createVoter({
    host, group: GROUP, stored: log.stored, stateMachine: state, initialVoters: opts.initialVoters, random: createRandom(opts.seed), startedAt: performance.now()
  })
  const openMs = performance.now() - startedAt
  const pendingCommands = createPendingCommands(host)
  let stopped = false
  let isRunScheduled = false
  let timer: NodeJS.Timeout | undefined

  function createContext (): RunContext {
    return {
      now: performance.now(),
      wallNow: Date.now(),
      send: (to, message) => to === CLIENT ? pendingCommands.receive(message) : links.send(to, message),
      emit: output => {
        if (output.kind === 'disk.request') void log.execute(output.request).then(answer => runOnVoter(inner => inner.receiveDisk(answer, createContext())))
      }
    }
  }

  /** Schedules one run for all events of an event loop turn. */
  function scheduleRun (): void {
    if (isRunScheduled || stopped) return
    isRunScheduled = true
    setImmediate(run)
  }

  function run (): void {
    isRunScheduled = false
    if (stopped) return
    voter.run(createContext())
    clearTimeout(timer)
    const nextAt = voter.getNextAt()
    if (nextAt !== undefined) timer = setTimeout(scheduleRun, Math.max(0, nextAt - performance.now()))
  }

  function runOnVoter<T> (work: (inner: Voter, context: RunContext) => T): T | undefined {
    if (stopped) return undefined
    const result = work(voter, createContext())
    scheduleRun()
    return result
  }

  const links = createPeerLinks({
    self: host,
    group: GROUP,
    peers: [],
    listen: '127.0.0.1:0',
    onMessage: (from, message) => { runOnVoter((inner, context) => inner.receive(from, message as VoterMessage, context)) },
    onLink: () => {},
    logger: createLogger({ level: 'error', write: line => { process.stderr.write(line) } })
  })
  ports.set(host, await links.open())
  const connect = (): void => links.setPeers([...ports].map(([peer, port]) => ({ host: peer, address: `127.0.0.1:${port}` })))
  connect()
  scheduleRun()

  return {
    host,
    voter,
    state,
    openMs,
    runOnVoter: runOnVoter as VoterNode['runOnVoter'],
    connect,
    submit: (command, timeoutMs) => pendingCommands.wait(timeoutMs, commandId => {
      runOnVoter((inner, context) => inner.receive(CLIENT, { kind: 'command.submit', commandId, origin: CLIENT, command, hops: 0 }, context))
    }),
    stop: async () => {
      stopped = true
      clearTimeout(timer)
      await links.close()
      await log.close()
    }
  }
}
