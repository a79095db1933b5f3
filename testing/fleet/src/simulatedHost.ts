/** A host of the simulated fleet: its systems, its disk and the messages that wait for it. */
import { createConfirmationGate, createCoreSystems } from '@catkinferry/daemon.fleet'
import type { ConfirmationGate, CoreSystems, FleetSettings } from '@catkinferry/daemon.fleet'
import { createDirectory } from '@catkinferry/fleet.directory'
import type { Directory, DirectoryMessage } from '@catkinferry/fleet.directory'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import { createOutbox } from '@catkinferry/host.core'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { HostId } from '@catkinferry/core.types'
import type { DiskRequest, LogEntry, PeerMessage, StoredState } from '@catkinferry/wire.messages'

export const STEP_MS = 5
/** As in the node: a longer time between two runs counts as a pause. */
const PAUSE_MS = 400

export interface SimulatedFleetOptions {
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

export interface Host {
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

export interface FleetState {
  readonly opts: SimulatedFleetOptions
  readonly cores: readonly HostId[]
  readonly seeds: readonly HostId[]
  readonly hosts: Map<HostId, Host>
  readonly cutLinks: Set<string>
  /** Times at which links that were cut come back, by direction. */
  readonly returnTimes: Map<string, number>
  readonly acknowledged: Array<{ readonly version: number, readonly at: number }>
  readonly logs: Array<{ readonly host: HostId, readonly message: string }>
  readonly sent: Array<{ readonly from: HostId, readonly to: HostId, readonly message: PeerMessage }>
  now: number
  /** Seed of the next host. */
  seed: number
}

function isCut ({ cutLinks, returnTimes, now }: FleetState, from: HostId, to: HostId): boolean {
  return cutLinks.has([from, to].toSorted().join(' ')) || now < (returnTimes.get(`${from} ${to}`) ?? 0)
}

export function readMonotonic ({ now }: FleetState, host: Host): number {
  return now - host.monotonicLagMs
}

function startCore (state: FleetState, host: Host): void {
  const settings = { name: host.name, host: host.name, zone: 'z', region: 'r', regionsByZone: new Map([['z', 'r']]), bootstrap: state.seeds.includes(host.name), toleratedDiskLosses: Math.floor((state.cores.length - 1) / 2), times: { handOverMs: 0, graceMs: 1_000, listLagMs: 0 } } as unknown as FleetSettings
  host.core = createCoreSystems({ settings, getSeeds: () => state.seeds, stored: { ...host.disk }, seed: state.seed++, startedAt: readMonotonic(state, host), sendOrder: () => undefined, pollList: () => undefined })
}

function startEntry (state: FleetState, host: Host): void {
  const { entries, revocationMs } = state.opts
  const directory = createDirectory({ getEntryCount: () => entries.length, getLeader: at => membership.getLeader(at), listCoreHosts: at => membership.listLiveCoreHosts(at), epoch: state.seed++, onRoutes: () => undefined })
  const gate = createConfirmationGate({
    revocationMs,
    firstId: 1_000 * state.seed++,
    getTable: () => directory.getRoutes()?.table,
    sendHellos: () => membership.scheduleHellos(),
    clock: { getMonotonicMs: () => readMonotonic(state, host), getWallMs: () => 1_000_000 + state.now }
  })
  const membership: FleetMembership = createFleetMembership({ self: { host: host.name, zone: 'z', region: 'r' }, role: 'entry', getSeeds: () => state.seeds, getHeld: directory.getHeld, createConfirmId: gate.createConfirmId })
  host.entry = { membership, directory, gate }
}

export function startHost (state: FleetState, host: Host): void {
  if (state.cores.includes(host.name)) startCore(state, host)
  else startEntry(state, host)
}

function receive (host: Host, from: HostId, message: PeerMessage, context: RunContext): void {
  const { core, entry } = host
  core?.receive(from, host.isOlderRelease ? readAsOlderRelease(message) : message, context)
  if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') entry?.membership.receive(from, message, context)
  else if (message.kind === 'fleet.confirmed') entry?.gate.receive(from, message, context)
  else entry?.directory.receive(from, message as DirectoryMessage, context)
}

function handleOutput (state: FleetState, host: Host, output: HostOutput, context: RunContext): void {
  if (output.kind === 'log') state.logs.push({ host: host.name, message: output.message })
  if (output.kind === 'disk.request') {
    writeToDisk(host, output.request)
    host.core?.receiveDisk({ writeId: output.request.writeId, ok: true }, context)
  }
  if (output.kind !== 'peer.send' || isCut(state, host.name, output.to)) return
  state.sent.push({ from: host.name, to: output.to, message: output.message })
  state.hosts.get(output.to)?.inbox.push({ at: state.now + STEP_MS, from: host.name, message: output.message })
}

export function runHost (state: FleetState, host: Host, act: (context: RunContext) => void = () => undefined): void {
  const monotonic = readMonotonic(state, host)
  const { context, outputs, takeLoopback } = createOutbox({ self: host.name, now: monotonic, wallNow: 1_000_000 + state.now })
  if (monotonic - host.lastRunAt > PAUSE_MS) {
    host.core?.handlePause(context, monotonic - host.lastRunAt)
    host.entry?.gate.recordPause(context)
  }
  host.lastRunAt = monotonic
  act(context)
  for (const task of host.tasks.splice(0)) task(context)
  while (host.inbox[0] !== undefined && host.inbox[0].at <= state.now) {
    const { from, message } = host.inbox.shift()!
    receive(host, from, message, context)
  }
  host.core?.run(context)
  host.entry?.gate.run(context)
  host.entry?.membership.run(context)
  host.entry?.directory.run(context)
  for (let message = takeLoopback(); message !== undefined; message = takeLoopback()) receive(host, host.name, message, context)
  // Answers of the disk may lead to further requests, which are appended to the outputs.
  for (const output of outputs) handleOutput(state, host, output, context)
}
