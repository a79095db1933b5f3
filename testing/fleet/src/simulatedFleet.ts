/**
 * Core hosts with real voters, and entry hosts with membership, directory and the confirmation gate, on virtual time. Hosts can be
 * suspended, links cut, and core hosts run as an earlier release. At each step the fleet checks that no entry host accepts keys by
 * a table that was replaced, and the replacement acknowledged, longer ago than the revocation time.
 */
import type { HostId, RouteTable } from '@catkinferry/core.types'
import type { ConfirmationGate } from '@catkinferry/daemon.fleet'
import type { Command, CommandResult } from '@catkinferry/wire.messages'
import { readMonotonic, runHost, startHost, STEP_MS } from './simulatedHost.ts'
import type { FleetState, Host, SimulatedFleetOptions } from './simulatedHost.ts'

export const REVOCATION_MS = 5_000
export const CORES: readonly HostId[] = ['c0', 'c1', 'c2']

export function buildTable (version: number): RouteTable {
  const route = { name: 'r', host: 'h.example', pathPrefix: '/', kind: 'idempotent', resumable: false, timeoutMs: 1_000, objectiveMs: 500, priority: 1, maxEndpoints: 2, shares: [{ pool: 'a', weight: 1 }] } as const
  return { version, routes: [route], pools: [{ name: 'a', healthPath: '/', maxConnections: 1 }], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }, accounts: [{ name: 'tenant', keyDigests: [`digest${version}`] }] }
}

function createHost (name: HostId, isOlderRelease: boolean): Host {
  return { name, inbox: [], monotonicLagMs: 0, lastRunAt: 0, isStopped: false, turnMs: 0, tasks: [], isOlderRelease, disk: { group: 'fleet', incarnation: `${name}#1`, hardState: { term: 0 }, entries: [] } }
}

function createState (opts: SimulatedFleetOptions): FleetState {
  const cores = opts.cores ?? CORES
  return { opts, cores, seeds: opts.seeds ?? cores, hosts: new Map(), cutLinks: new Set(), returnTimes: new Map(), acknowledged: [], logs: [], sent: [], now: 0, seed: (opts.seed ?? 0) * 1_000 + 1 }
}

/** Throws if an entry host accepts keys by a table whose replacement was acknowledged longer ago than the revocation time. */
function checkRevocation ({ opts, hosts, acknowledged, now }: FleetState): void {
  if (opts.revocationMs === undefined) return
  const newest = Math.max(0, ...acknowledged.filter(({ at }) => at < now - REVOCATION_MS).map(({ version }) => version))
  for (const { name, entry, isStopped } of hosts.values()) {
    const held = entry?.directory.getHeld().routesVersion ?? 0
    if (entry !== undefined && !isStopped && held > 0 && held < newest && entry.gate.isCurrent()) throw new Error(`at ${now}, ${name} accepts keys by version ${held}, though ${newest} was acknowledged long ago`)
  }
}

function runFor (state: FleetState, ms: number, onStep: () => void = () => undefined): void {
  for (const end = state.now + ms; state.now < end; state.now += STEP_MS) {
    for (const host of state.hosts.values()) if (!host.isStopped && state.now - host.lastRunAt - host.monotonicLagMs >= host.turnMs) runHost(state, host)
    checkRevocation(state)
    onStep()
  }
}

export function createSimulatedFleet (opts: SimulatedFleetOptions) {
  const state = createState(opts)
  const getHost = (name: HostId): Host => state.hosts.get(name)!
  for (const name of [...state.cores, ...opts.entries]) {
    const host = createHost(name, opts.older?.includes(name) === true)
    state.hosts.set(name, host)
    startHost(state, host)
  }

  return {
    logs: state.logs,
    sent: state.sent,
    runFor: (ms: number, onStep?: () => void) => runFor(state, ms, onStep),
    getGate: (name: HostId): ConfirmationGate => getHost(name).entry!.gate,
    getHeldVersion: (name: HostId): number => getHost(name).entry!.directory.getHeld().routesVersion,
    /** Runs for some time and returns the greatest age of a host's confirmation in it. */
    runAndMeasureAge: (name: HostId, ms: number): number => {
      let greatest = 0
      runFor(state, ms, () => { greatest = Math.max(greatest, getHost(name).entry!.gate.getAgeMs()) })
      return greatest
    },
    findLeader: (): HostId | undefined => [...state.hosts.values()].find(({ core, isStopped }) => !isStopped && core?.voter.isLeader() === true && core.voter.isInContact() && core.voter.getQuorumAgeMs(state.now) < 1_000)?.name,
    cut: (from: HostId, to: HostId) => { state.cutLinks.add([from, to].toSorted().join(' ')) },
    heal: () => state.cutLinks.clear(),
    /** Heals all cuts; each direction of a link comes back after a time of its own, as connections do. */
    healLinks: (chooseDelayMs: () => number) => {
      for (const [from, to] of [...state.cutLinks].map(link => link.split(' ') as [HostId, HostId])) {
        state.returnTimes.set(`${from} ${to}`, state.now + chooseDelayMs())
        state.returnTimes.set(`${to} ${from}`, state.now + chooseDelayMs())
      }
      state.cutLinks.clear()
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
      host.inbox.splice(0).forEach(item => host.inbox.push({ ...item, at: Math.max(item.at, state.now + 2 * STEP_MS) }))
    },
    /** Lets a host run only once in this time. */
    setTurnMs: (name: HostId, turnMs: number) => { getHost(name).turnMs = turnMs },
    /** Submits a command to a host; one that is stopped takes it when it goes on. */
    submit: (through: HostId, command: Command, timeoutMs: number, onResult: (result: CommandResult) => void) => {
      getHost(through).tasks.push(context => getHost(through).core?.commands.submit({ command, deadlineAt: context.now + timeoutMs, onOutcome: onResult }, context))
    },
    getNow: () => state.now,
    restart: (name: HostId) => {
      const host = getHost(name)
      host.isStopped = false
      host.inbox.length = 0
      host.tasks.length = 0
      host.lastRunAt = readMonotonic(state, host)
      startHost(state, host)
    },
    commit: (through: HostId, version: number) => {
      runHost(state, getHost(through), context => getHost(through).core?.commands.submit({
        command: { kind: 'routes.replace', table: buildTable(version), document: '' },
        deadlineAt: context.now + 10_000,
        onOutcome: ({ kind }) => { if (kind === 'outcome') state.acknowledged.push({ version, at: state.now }) }
      }, context))
    },
    isAcknowledged: (version: number): boolean => state.acknowledged.some(row => row.version === version)
  }
}

export type SimulatedFleet = ReturnType<typeof createSimulatedFleet>
