/** A group of voters on virtual time, whose state machine is the list of applied change ids. */
import { estimateBytes } from '@catkinferry/consensus.log-machine'
import { createRandom } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { Command, CommandMessage, DiskRequest, LogEntry, PeerMessage, StateMachine, StoredState } from '@catkinferry/wire.messages'
import TinyQueue from 'tinyqueue'
import { createVoter } from '../src/index.ts'
import type { Voter, VoterMessage } from '../src/index.ts'

const LINK_MS = 2
const DISK_MS = 3

interface Node {
  voter: Voter | undefined
  disk: { -readonly [Key in keyof StoredState]: StoredState[Key] }
  applied: { changeId: string, proposedAt: number }[]
  generation: number
  wallSkewMs: number
}

function createListState (node: Node, padding: number): StateMachine {
  return {
    apply: ({ index, proposedAt, command }) => {
      node.applied.push({ changeId: 'changeId' in command ? command.changeId : '', proposedAt })
      return { kind: 'settings.accepted', revision: index, repeated: false, nodes: [] }
    },
    checkCommand: () => undefined,
    takeSnapshot: () => Buffer.from(JSON.stringify({ applied: node.applied, padding: 'x'.repeat(padding) })),
    restoreSnapshot: data => { node.applied = (JSON.parse(Buffer.from(data).toString()) as { applied: Node['applied'] }).applied },
    answerQuery: () => node.applied.map(({ changeId }) => changeId)
  }
}

function writeToDisk (node: Node, request: DiskRequest): void {
  const { disk } = node
  const dropFrom = (index: number): LogEntry[] => disk.entries.filter(entry => entry.index < index)
  if (request.kind === 'hardState') disk.hardState = request.state
  else if (request.kind === 'append') disk.entries = [...disk.entries, ...request.entries]
  else if (request.kind === 'replaceFrom') disk.entries = [...dropFrom(request.index), ...request.entries]
  else {
    const { lastIndex, lastTerm } = request.snapshot
    const keeps = disk.entries.some(({ index, term }) => index === lastIndex && term === lastTerm)
    disk.entries = keeps ? disk.entries.filter(({ index }) => index > lastIndex) : []
    disk.snapshot = request.snapshot
  }
}

export interface VoterGroupOptions {
  readonly hosts: readonly HostId[]
  readonly seed: number
  readonly spares?: readonly HostId[]
  /** Bandwidth between each two hosts; unlimited by default. */
  readonly bytesPerMs?: number
  /** Bytes of a snapshot beside the change ids. */
  readonly snapshotPadding?: number
}

export function createVoterGroup (opts: VoterGroupOptions) {
  const events = new TinyQueue<{ at: number, order: number, act: () => void }>([], (a, b) => a.at - b.at || a.order - b.order)
  const nodes = new Map<HostId, Node>()
  const answers: CommandMessage[] = []
  const outputs: HostOutput[] = []
  const cut = new Set<HostId>()
  const linkFreeAt = new Map<string, number>()
  let now = 0
  let order = 0
  const schedule = (afterMs: number, act: () => void): void => { events.push({ at: now + afterMs, order: order++, act }) }

  function computeDeliveryMs (link: string, message: PeerMessage): number {
    if (opts.bytesPerMs === undefined) return LINK_MS
    const freeAt = Math.max(now, linkFreeAt.get(link) ?? now) + estimateBytes(message) / opts.bytesPerMs
    linkFreeAt.set(link, freeAt)
    return freeAt - now + LINK_MS
  }

  function createContext (host: HostId, node: Node): RunContext {
    const { generation } = node
    return {
      now,
      wallNow: 1_000_000 + now + node.wallSkewMs,
      send: (to, message) => {
        if (cut.has(host)) return
        schedule(computeDeliveryMs(`${host}>${to}`, message), () => deliver(host, to, message))
      },
      emit: output => {
        outputs.push(output)
        if (output.kind !== 'disk.request') return
        schedule(DISK_MS, () => {
          if (node.generation !== generation) return
          writeToDisk(node, output.request)
          node.voter?.receiveDisk({ writeId: output.request.writeId, ok: true }, createContext(host, node))
          runNode(host)
        })
      }
    }
  }

  function deliver (from: HostId, to: HostId, message: PeerMessage): void {
    const node = nodes.get(to)
    if (node === undefined) answers.push(message as CommandMessage)
    if (node?.voter === undefined || cut.has(to)) return
    node.voter.receive(from, message as VoterMessage, createContext(to, node))
    runNode(to)
  }

  function runNode (host: HostId): void {
    const node = nodes.get(host)
    if (node?.voter === undefined) return
    const { generation, voter } = node
    voter.run(createContext(host, node))
    const nextAt = voter.getNextAt()
    if (nextAt === undefined) return
    schedule(Math.max(1, nextAt - now), () => { if (node.generation === generation && (voter.getNextAt() ?? Infinity) <= now) runNode(host) })
  }

  function start (host: HostId): void {
    const node = nodes.get(host) as Node
    node.generation++
    node.applied = []
    const stateMachine = createListState(node, opts.snapshotPadding ?? 0)
    node.voter = createVoter({ host, group: 'g', stored: { ...node.disk }, stateMachine, initialVoters: opts.hosts, random: createRandom(opts.seed + order), startedAt: now })
    runNode(host)
  }

  for (const host of [...opts.hosts, ...(opts.spares ?? [])]) {
    nodes.set(host, { voter: undefined, disk: { group: 'g', incarnation: `${host}#1`, hardState: { term: 0 }, entries: [] }, applied: [], generation: 0, wallSkewMs: 0 })
    start(host)
  }

  return {
    answers,
    outputs,
    cut,
    start,
    getNow: () => now,
    getNode: (host: HostId): Node => nodes.get(host) as Node,
    getVoter: (host: HostId): Voter => nodes.get(host)?.voter as Voter,
    kill: (host: HostId) => {
      const node = nodes.get(host) as Node
      node.voter = undefined
      node.generation++
    },
    act: <T>(host: HostId, work: (voter: Voter, context: RunContext) => T): T => {
      const node = nodes.get(host) as Node
      const result = work(node.voter as Voter, createContext(host, node))
      runNode(host)
      return result
    },
    submit: (to: HostId, changeId: string, note = '') => {
      const operator = { name: 'op', role: 'write', from: note } as const
      const command: Command = { kind: 'settings.change', changeId, operator, changes: [] }
      const node = nodes.get(to) as Node
      node.voter?.receive('caller', { kind: 'command.submit', commandId: changeId, origin: 'caller', command, hops: 0 }, createContext(to, node))
      runNode(to)
    },
    sendQuery: (to: HostId, fresh: boolean) => deliver('caller', to, { kind: 'query.ask', queryId: 'q', origin: 'caller', query: { kind: 'settings', path: '', effective: false, explain: false }, fresh, hops: 0 }),
    runFor: (ms: number) => {
      const end = now + ms
      for (let next = events.peek(); next !== undefined && next.at <= end; next = events.peek()) {
        events.pop()
        now = next.at
        next.act()
      }
      now = end
    },
    findLeader: (): HostId => {
      const found = [...nodes].filter(([host, { voter }]) => voter?.isLeader() === true && !cut.has(host))[0]
      if (found === undefined) throw new Error('no leader')
      return found[0]
    }
  }
}
