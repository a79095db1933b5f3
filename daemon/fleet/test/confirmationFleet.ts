/**
 * Core hosts with real voters, and entry hosts with membership, directory and the confirmation gate, on virtual time. Hosts can be
 * suspended, links cut, and core hosts run as an earlier release. At each step the fleet checks that no entry host accepts keys by
 * a table that was replaced, and the replacement acknowledged, longer ago than the revocation time.
 */
import { createDirectory } from '@catkinferry/fleet.directory'
import type { Directory, DirectoryMessage } from '@catkinferry/fleet.directory'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import { createOutbox } from '@catkinferry/host.core'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { HostId, RouteTable } from '@catkinferry/core.types'
import type { Command, CommandResult, DiskRequest, LogEntry, PeerMessage, StoredState } from '@catkinferry/wire.messages'
import { createConfirmationGate } from '../src/confirmationGate.ts'
import type { ConfirmationGate } from '../src/confirmationGate.ts'
import { createCoreSystems } from '../src/coreSystems.ts'
import type { CoreSystems } from '../src/coreSystems.ts'
import type { FleetSettings } from '../src/fleetSettings.ts'

export const REVOCATION_MS = 5_000
export const CORES: readonly HostId[] = ['c0', 'c1', 'c2']
const STEP_MS = 5
/** As in the node: a longer time between two runs counts as a pause. */
const PAUSE_MS = 400

export function buildTable (version: number): RouteTable {
  const route = { name: 'r', host: 'h.example', pathPrefix: '/', kind: 'idempotent', resumable: false, timeoutMs: 1_000, objectiveMs: 500, priority: 1, maxEndpoints: 2, shares: [{ pool: 'a', weight: 1 }] } as const
  return { version, routes: [route], pools: [{ name: 'a', healthPath: '/', maxConnections: 1 }], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: [{ name: 'tenant', keyDigests: [`digest${version}`] }] }
}

interface Host {
  readonly name: HostId
  readonly inbox: Array<{ readonly at: number, readonly from: HostId, readonly message: PeerMessage }>
  /** True time less monotonic time of this host. */
  monotonicLagMs: number
  lastRunAt: number
  isStopped: boolean
  /** The host runs this seldom; 0 if at each step. */
  turnMs: number
  /** Work that arrived from outside, done in the next run. */
  tasks: Array<(context: RunContext) => void>
  isOlderRelease: boolean
  /** Bytes of the disk; entry hosts have none. */
  disk: { -readonly [Key in keyof StoredState]: StoredState[Key] }
  core?: CoreSystems
  entry?: { readonly membership: FleetMembership, readonly directory: Directory, readonly gate: ConfirmationGate }
}

function writeToDisk (host: Host, request: DiskRequest): void {
  const { disk } = host
  const keepBelow = (index: number): LogEntry[] => disk.entries.filter(entry => entry.index < index)
  if (request.kind === 'hardState') disk.hardState = request.state
  else if (request.kind === 'append') disk.entries = [...disk.entries, ...request.entries]
  else if (request.kind === 'replaceFrom') disk.entries = [...keepBelow(request.index), ...request.entries]
}

/** What an older release makes of a message: it does not know the field or the query. */
function readAsOlderRelease (message: PeerMessage): PeerMessage {
  if (message.kind === 'fleet.hello') return { ...message, confirmId: undefined }
  return message.kind === 'query.ask' && message.query.kind === 'routesVersion' ? { ...message, query: { kind: 'unknown' } as never } : message
}

export interface ConfirmationFleetOptions {
  readonly entries: readonly HostId[]
  /** Core hosts; `CORES` if absent. */
  readonly cores?: readonly HostId[]
  /** Core hosts that the settings name; all if absent. The others join. */
  readonly seeds?: readonly HostId[]
  /** Core hosts of an earlier release. */
  readonly older?: readonly HostId[]
  /** Undefined if the deployment does not bound the revocation time. */
  readonly revocationMs: number | undefined
  /** Seeds the random numbers of all hosts. */
  readonly seed?: number
}

export function createConfirmationFleet (opts: ConfirmationFleetOptions) {
  const cores = opts.cores ?? CORES
  const seeds = opts.seeds ?? cores
  const hosts = new Map<HostId, Host>()
  const cutLinks = new Set<string>()
  /** Times at which links that were cut come back, by direction. */
  const returnTimes = new Map<string, number>()
  const acknowledged: Array<{ readonly version: number, readonly at: number }> = []
  const logs: Array<{ readonly host: HostId, readonly message: string }> = []
  const sent: Array<{ readonly from: HostId, readonly to: HostId, readonly message: PeerMessage }> = []
  let now = 0
  let seed = (opts.seed ?? 0) * 1_000 + 1
  const isCut = (from: HostId, to: HostId): boolean => cutLinks.has([from, to].toSorted().join(' ')) || now < (returnTimes.get(`${from} ${to}`) ?? 0)
  const readMonotonic = (host: Host): number => now - host.monotonicLagMs

  function startCore (host: Host): void {
    const settings = { name: host.name, host: host.name, zone: 'z', region: 'r', regionsByZone: new Map([['z', 'r']]), bootstrap: seeds.includes(host.name), toleratedDiskLosses: Math.floor((cores.length - 1) / 2), times: { handOverMs: 0, graceMs: 1_000, listLagMs: 0 } } as unknown as FleetSettings
    host.core = createCoreSystems({ settings, getSeeds: () => seeds, stored: { ...host.disk }, seed: seed++, startedAt: readMonotonic(host), sendOrder: () => undefined, pollList: () => undefined })
  }

  function startEntry (host: Host): void {
    const directory = createDirectory({ getEntryCount: () => opts.entries.length, getLeader: at => membership.getLeader(at), listCoreHosts: at => membership.listLiveCoreHosts(at), epoch: seed++, onRoutes: () => undefined })
    const gate = createConfirmationGate({
      revocationMs: opts.revocationMs,
      firstId: 1_000 * seed++,
      getTable: () => directory.getRoutes()?.table,
      sendHellos: () => membership.scheduleHellos(),
      clock: { getMonotonicMs: () => readMonotonic(host), getWallMs: () => 1_000_000 + now }
    })
    const membership: FleetMembership = createFleetMembership({ self: { host: host.name, zone: 'z', region: 'r' }, role: 'entry', getSeeds: () => seeds, getHeld: directory.getHeld, createConfirmId: gate.createConfirmId })
    host.entry = { membership, directory, gate }
  }

  function receive (host: Host, from: HostId, message: PeerMessage, context: RunContext): void {
    const { core, entry } = host
    core?.receive(from, host.isOlderRelease ? readAsOlderRelease(message) : message, context)
    if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') entry?.membership.receive(from, message, context)
    else if (message.kind === 'fleet.confirmed') entry?.gate.receive(from, message, context)
    else entry?.directory.receive(from, message as DirectoryMessage, context)
  }

  function handleOutput (host: Host, output: HostOutput, context: RunContext): void {
    if (output.kind === 'log') logs.push({ host: host.name, message: output.message })
    if (output.kind === 'disk.request') {
      writeToDisk(host, output.request)
      host.core?.receiveDisk({ writeId: output.request.writeId, ok: true }, context)
    }
    if (output.kind !== 'peer.send' || isCut(host.name, output.to)) return
    sent.push({ from: host.name, to: output.to, message: output.message })
    hosts.get(output.to)?.inbox.push({ at: now + STEP_MS, from: host.name, message: output.message })
  }

  function runHost (host: Host, act: (context: RunContext) => void = () => undefined): void {
    const monotonic = readMonotonic(host)
    const { context, outputs, takeLoopback } = createOutbox({ self: host.name, now: monotonic, wallNow: 1_000_000 + now })
    if (monotonic - host.lastRunAt > PAUSE_MS) {
      host.core?.handlePause(context, monotonic - host.lastRunAt)
      host.entry?.gate.recordPause(context)
    }
    host.lastRunAt = monotonic
    act(context)
    for (const task of host.tasks.splice(0)) task(context)
    while (host.inbox[0] !== undefined && host.inbox[0].at <= now) {
      const { from, message } = host.inbox.shift()!
      receive(host, from, message, context)
    }
    host.core?.run(context)
    host.entry?.gate.run(context)
    host.entry?.membership.run(context)
    host.entry?.directory.run(context)
    for (let message = takeLoopback(); message !== undefined; message = takeLoopback()) receive(host, host.name, message, context)
    // Answers of the disk may lead to further requests, which are appended to the outputs.
    for (const output of outputs) handleOutput(host, output, context)
  }

  function checkBound (): void {
    if (opts.revocationMs === undefined) return
    const newest = Math.max(0, ...acknowledged.filter(({ at }) => at < now - REVOCATION_MS).map(({ version }) => version))
    for (const { name, entry, isStopped } of hosts.values()) {
      const held = entry?.directory.getHeld().routesVersion ?? 0
      if (entry !== undefined && !isStopped && held > 0 && held < newest && entry.gate.isCurrent()) throw new Error(`at ${now}, ${name} accepts keys by version ${held}, though ${newest} was acknowledged long ago`)
    }
  }

  const getHost = (name: HostId): Host => hosts.get(name)!
  for (const name of [...cores, ...opts.entries]) {
    const host: Host = { name, inbox: [], monotonicLagMs: 0, lastRunAt: 0, isStopped: false, turnMs: 0, tasks: [], isOlderRelease: opts.older?.includes(name) === true, disk: { group: 'fleet', incarnation: `${name}#1`, hardState: { term: 0 }, entries: [] } }
    hosts.set(name, host)
    if (cores.includes(name)) startCore(host)
    else startEntry(host)
  }

  function runFor (ms: number, onStep: () => void = () => undefined): void {
    for (const end = now + ms; now < end; now += STEP_MS) {
      for (const host of hosts.values()) if (!host.isStopped && now - host.lastRunAt - host.monotonicLagMs >= host.turnMs) runHost(host)
      checkBound()
      onStep()
    }
  }

  return {
    logs,
    sent,
    runFor,
    getGate: (name: HostId): ConfirmationGate => getHost(name).entry!.gate,
    getHeldVersion: (name: HostId): number => getHost(name).entry!.directory.getHeld().routesVersion,
    /** Runs for some time and returns the greatest age of a host's confirmation in it. */
    runAndMeasureAge: (name: HostId, ms: number): number => {
      let greatest = 0
      runFor(ms, () => { greatest = Math.max(greatest, getHost(name).entry!.gate.getAgeMs()) })
      return greatest
    },
    findLeader: (): HostId | undefined => [...hosts.values()].find(({ core, isStopped }) => !isStopped && core?.voter.isLeader() === true && core.voter.isInContact() && core.voter.getQuorumAgeMs(now) < 1_000)?.name,
    cut: (from: HostId, to: HostId) => { cutLinks.add([from, to].toSorted().join(' ')) },
    heal: () => cutLinks.clear(),
    /** Heals all cuts; each direction of a link comes back after a time of its own, as connections do. */
    healLinks: (chooseDelayMs: () => number) => {
      for (const [from, to] of [...cutLinks].map(link => link.split(' ') as [HostId, HostId])) {
        returnTimes.set(`${from} ${to}`, now + chooseDelayMs())
        returnTimes.set(`${to} ${from}`, now + chooseDelayMs())
      }
      cutLinks.clear()
    },
    stop: (name: HostId) => { getHost(name).isStopped = true },
    /** Goes on where it was stopped. `suspended`: the monotonic clock stood still for this long. */
    resume: (name: HostId, suspendedMs = 0) => {
      const host = getHost(name)
      host.isStopped = false
      host.monotonicLagMs += suspendedMs
    },
    /** A process that goes on after it was frozen runs its timers before it reads its sockets. */
    resumeTimersFirst: (name: HostId) => {
      const host = getHost(name)
      host.isStopped = false
      host.inbox.splice(0).forEach(item => host.inbox.push({ ...item, at: Math.max(item.at, now + 2 * STEP_MS) }))
    },
    /** Lets a host run only once in this time. */
    setTurnMs: (name: HostId, turnMs: number) => { getHost(name).turnMs = turnMs },
    /** Submits a command to a host; one that is stopped takes it when it goes on. */
    submit: (through: HostId, command: Command, timeoutMs: number, onResult: (result: CommandResult) => void) => {
      getHost(through).tasks.push(context => getHost(through).core?.commands.submit({ command, deadlineAt: context.now + timeoutMs, onOutcome: onResult }, context))
    },
    getNow: () => now,
    restart: (name: HostId) => {
      const host = getHost(name)
      host.isStopped = false
      host.inbox.length = 0
      host.tasks.length = 0
      host.lastRunAt = readMonotonic(host)
      if (cores.includes(name)) startCore(host)
      else startEntry(host)
    },
    commit: (through: HostId, version: number) => {
      runHost(getHost(through), context => getHost(through).core?.commands.submit({
        command: { kind: 'routes.replace', table: buildTable(version), document: '' },
        deadlineAt: context.now + 10_000,
        onOutcome: ({ kind }) => { if (kind === 'outcome') acknowledged.push({ version, at: now }) }
      }, context))
    },
    isAcknowledged: (version: number): boolean => acknowledged.some(row => row.version === version)
  }
}

export type ConfirmationFleet = ReturnType<typeof createConfirmationFleet>
