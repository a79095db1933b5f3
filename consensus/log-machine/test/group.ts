/** A group of log machines on virtual time, with an in-memory network and disks that lose unsynced writes. */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage, DiskRequest, LogEntry, Snapshot, StoredState } from '@catkinferry/wire.messages'
import TinyQueue from 'tinyqueue'
import { createLogMachine, Role } from '../src/index.ts'
import type { LogMachine, MachineContext } from '../src/index.ts'

type Stored = { -readonly [Key in keyof StoredState]: StoredState[Key] }

interface Member {
  readonly host: HostId
  machine: LogMachine | undefined
  disk: Stored
  generation: number
  folderCount: number
  unsynced: DiskRequest[]
  applied: string[]
}

export interface GroupOptions {
  readonly seed: number
  readonly hosts: readonly HostId[]
  readonly spares?: readonly HostId[]
  readonly dropFraction?: number
  readonly duplicateFraction?: number
  readonly maxDelayMs?: number
  readonly diskMs?: number
  /** Called for each message that a member sends. */
  readonly onSend?: (from: HostId, to: HostId, message: ConsensusMessage) => void
}

export function applyToDisk (disk: Stored, request: DiskRequest): void {
  if (request.kind === 'hardState') disk.hardState = request.state
  else if (request.kind === 'append') disk.entries = [...disk.entries, ...request.entries]
  else if (request.kind === 'replaceFrom') disk.entries = [...disk.entries.filter(({ index }) => index < request.index), ...request.entries]
  else {
    const { lastIndex, lastTerm } = request.snapshot
    if (lastIndex <= (disk.snapshot?.lastIndex ?? 0)) return
    const before = disk.entries.some(({ index, term }) => index === lastIndex && term === lastTerm)
    disk.entries = before ? disk.entries.filter(({ index }) => index > lastIndex) : []
    disk.snapshot = request.snapshot
  }
}

/** In these tests a snapshot is the list of applied change ids. */
const encodeApplied = (applied: readonly string[]): Uint8Array => new TextEncoder().encode(JSON.stringify(applied))
const decodeApplied = ({ data }: Snapshot): string[] => JSON.parse(new TextDecoder().decode(data)) as string[]

export function createGroup (opts: GroupOptions) {
  const random: Random = createRandom(opts.seed)
  const events = new TinyQueue<{ at: number, order: number, act: () => void }>([], (a, b) => a.at - b.at || a.order - b.order)
  const members = new Map<HostId, Member>()
  const cuts = new Set<string>()
  const committed = new Map<number, string>()
  const leaders = new Map<number, string>()
  const violations: string[] = []
  const diskFaults: { fail?: HostId, slowMs?: number } = {}
  let now = 0
  let order = 0

  function schedule (afterMs: number, act: () => void): void {
    events.push({ at: now + afterMs, order: order++, act })
  }

  function deliver (from: HostId, to: HostId, message: ConsensusMessage): void {
    schedule(random.nextInt(1, opts.maxDelayMs ?? 5), () => {
      const member = members.get(to)
      if (member?.machine === undefined || cuts.has(`${from}>${to}`)) return
      member.machine.receive(from, message, createContext(member))
      runMember(member)
    })
  }

  function createContext (member: Member): MachineContext {
    return {
      now,
      send: (to, message) => {
        opts.onSend?.(member.host, to, message)
        if (cuts.has(`${member.host}>${to}`) || random.nextFraction() < (opts.dropFraction ?? 0)) return
        deliver(member.host, to, message)
        if (random.nextFraction() < (opts.duplicateFraction ?? 0)) deliver(member.host, to, message)
      },
      requestDisk: request => {
        const { generation } = member
        member.unsynced.push(request)
        schedule(diskFaults.slowMs ?? random.nextInt(1, opts.diskMs ?? 3), () => { if (member.generation === generation) syncDisk(member, request) })
      }
    }
  }

  /** Syncs a request and all earlier ones except snapshots, which may be synced later. */
  function syncDisk (member: Member, last: DiskRequest): void {
    const isDone = (request: DiskRequest): boolean => request === last || (request.kind !== 'snapshot' && request.writeId <= last.writeId)
    const done = member.unsynced.filter(isDone)
    member.unsynced = member.unsynced.filter(request => !isDone(request))
    for (const request of done) {
      if (member.machine === undefined) return
      const ok = diskFaults.fail !== member.host
      if (ok) applyToDisk(member.disk, request)
      const answer = ok ? { writeId: request.writeId, ok: true } as const : { writeId: request.writeId, ok: false, reason: 'sync failed' } as const
      member.machine.receiveDisk(answer, createContext(member))
    }
    runMember(member)
  }

  /** Runs the machine, applies and checks the committed entries, and schedules the next run. */
  function runMember (member: Member): void {
    const { machine, generation } = member
    if (machine === undefined) return
    machine.run(createContext(member))
    const { restore, entries } = machine.takeReady(1_000)
    if (restore !== undefined) member.applied = decodeApplied(restore)
    for (const entry of entries) applyEntry(member, entry)
    const { role, term } = machine.getState()
    if (role === Role.LEADER) recordLeader(member, term)
    const nextAt = machine.getNextAt()
    if (nextAt === undefined) return
    schedule(Math.max(1, nextAt - now), () => { if (member.generation === generation && (machine.getNextAt() ?? Infinity) <= now) runMember(member) })
  }

  function recordLeader (member: Member, term: number): void {
    const name = `${member.host}/${member.disk.incarnation}`
    const known = leaders.get(term)
    if (known !== undefined && known !== name) violations.push(`two leaders of term ${term}: ${known} and ${name}`)
    leaders.set(term, name)
  }

  function applyEntry (member: Member, entry: LogEntry): void {
    const text = `${entry.term}:${JSON.stringify(entry.payload)}`
    const known = committed.get(entry.index)
    if (known !== undefined && known !== text) violations.push(`entry ${entry.index} was ${known} and is ${text} at ${member.host}`)
    committed.set(entry.index, text)
    if (entry.payload.kind === 'commands') member.applied.push(entry.payload.commands.map(command => 'changeId' in command ? command.changeId : '').join())
  }

  function start (host: HostId): void {
    const member = members.get(host)
    if (member === undefined || member.machine !== undefined) return
    member.generation++
    member.unsynced = []
    const { snapshot } = member.disk
    member.applied = snapshot === undefined ? [] : decodeApplied(snapshot)
    member.machine = createLogMachine({ host, stored: { ...member.disk }, initialVoters: opts.hosts, random: createRandom(random.nextInt(0, 1e9)), now })
    runMember(member)
  }

  /** Ends a process; the first few of its unsynced writes may have reached the disk. */
  function kill (host: HostId): void {
    const member = members.get(host)
    if (member?.machine === undefined) return
    const kept = random.nextInt(0, member.unsynced.length)
    for (const request of member.unsynced.slice(0, kept)) applyToDisk(member.disk, request)
    member.unsynced = []
    member.machine = undefined
    member.generation++
  }

  function wipe (host: HostId): void {
    const member = members.get(host)
    if (member === undefined) return
    member.folderCount++
    member.disk = { group: 'g', incarnation: `${host}#${member.folderCount}`, hardState: { term: 0 }, entries: [] }
  }

  function setCut (a: HostId, b: HostId, isCut: boolean): void {
    for (const pair of [`${a}>${b}`, `${b}>${a}`]) isCut ? cuts.add(pair) : cuts.delete(pair)
  }

  const all = [...opts.hosts, ...(opts.spares ?? [])]
  for (const host of all) {
    members.set(host, { host, machine: undefined, disk: { group: 'g', incarnation: '', hardState: { term: 0 }, entries: [] }, generation: 0, folderCount: 0, unsynced: [], applied: [] })
    wipe(host)
    start(host)
  }

  const getMember = (host: HostId): Member => members.get(host) as Member
  const getMachine = (host: HostId): LogMachine => getMember(host).machine as LogMachine

  return {
    violations,
    committed,
    cuts,
    diskFaults,
    random,
    start,
    kill,
    wipe,
    getMachine,
    getMember,
    deliver,
    getNow: () => now,
    isolate: (host: HostId, isCut: boolean) => { for (const other of all) if (other !== host) setCut(host, other, isCut) },
    /** Pauses all processes; messages to them wait. */
    pause: (ms: number) => { now += ms },
    /** Advances virtual time and runs the events due by then. */
    runFor: (ms: number) => {
      const end = now + ms
      for (let next = events.peek(); next !== undefined && next.at <= end; next = events.peek()) {
        events.pop()
        now = Math.max(now, next.at)
        next.act()
      }
      now = end
    },
    findLeader: (): HostId | undefined => {
      const leading = [...members.values()].filter(({ machine }) => machine?.getState().role === Role.LEADER)
      return leading.sort((a, b) => (b.machine?.getState().term ?? 0) - (a.machine?.getState().term ?? 0))[0]?.host
    },
    propose: (host: HostId, changeId: string): number | undefined => {
      const member = getMember(host)
      const operator = { name: 'op', role: 'write', from: '' } as const
      const proposed = member.machine?.propose({ kind: 'commands', proposedAt: now, commands: [{ kind: 'settings.change', changeId, operator, changes: [] }] }, createContext(member))
      runMember(member)
      return proposed?.index
    },
    act: <T>(host: HostId, work: (machine: LogMachine, context: MachineContext) => T): T => {
      const member = getMember(host)
      const result = work(getMachine(host), createContext(member))
      runMember(member)
      return result
    },
    compact: (host: HostId, tailEntries: number) => {
      const member = getMember(host)
      member.machine?.compact({ lastIndex: member.machine.getState().deliveredIndex, data: encodeApplied(member.applied), tail: { maxEntries: tailEntries, maxBytes: Infinity } }, createContext(member))
    }
  }
}

export type Group = ReturnType<typeof createGroup>
