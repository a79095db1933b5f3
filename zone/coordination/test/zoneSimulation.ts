/**
 * Simulation of zones for tests, on virtual time: hosts with drifting clocks, engines, and a network with delay, loss,
 * duplication and partitions. Records orders, grants and violations of the safety rules.
 */
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { AdapterKey, EndpointRow, HostId, PeerRow } from '@catkinferry/core.types'
import type { HostOutput, OrderSend, RunContext } from '@catkinferry/host.events'
import type { GrantMessage, PeerMessage } from '@catkinferry/wire.messages'
import { createZoneCoordination } from '@catkinferry/zone.coordination'
import type { ZoneCoordination, ZoneMessage } from '@catkinferry/zone.coordination'
import { applyEvict, applyLoad, takeReport } from './fakeEngine.ts'
import { createTestSettings } from './testSettings.ts'
import type { AppliedOrder, AttemptPlan, Engine, Faults, ReceivedGrant, SimulatedHost, ZoneSimulation, ZoneSimulationOptions } from './zoneSimulationTypes.ts'

/** Grants given before the owner notices an engine restart find the engine empty, which is no violation for this long. */
const RESTART_NOTICE_MS = 4_000
const CLOCK_GRAIN_MS = 0.001
const WALL_START_MS = 1_700_000_000_000

interface Planned { readonly at: number, readonly order: number, readonly action: () => void }

/** Creates a simulation with hosts named `z<zone>h<number>`; zone and host numbers start at 1. */
export function createZoneSimulation (opts: ZoneSimulationOptions): ZoneSimulation {
  const random: Random = createRandom(opts.seed)
  const settings = createTestSettings(opts.settings)
  const peers: PeerRow[] = []
  for (let zone = 1; zone <= (opts.zones ?? 1); zone++) {
    for (let index = 1; index <= opts.hosts; index++) {
      peers.push({ host: `z${zone}h${index}`, zone: `z${zone}`, region: 'r', address: '', voter: false, leaseVoter: true })
    }
  }
  const hosts = new Map<HostId, SimulatedHost>()
  const engines = new Map<string, Engine>()
  const planned: Planned[] = []
  const cuts = new Set<string>()
  const counts = new Map<string, number>()
  const attempts = new Map<string, AttemptPlan & { readonly host: HostId, readonly adapterKey: AdapterKey, readonly requestedAt: number, readonly maxRunMs: number }>()
  const active = new Map<HostId, Map<string, { readonly endpoint: string, readonly adapterKey: AdapterKey, readonly endsAt: number }>>()
  const orders: AppliedOrder[] = []
  const grants: ReceivedGrant[] = []
  const violations: string[] = []
  const faults: Faults = { lossShare: 0, duplicateShare: 0, maxDelayMs: 2, lostAnswerShare: 0, slowShare: 0, maxSendMs: 0, maxOrderMs: 0, maxReportAgeMs: 0, fixedSendMs: 0 }
  let now = 1000
  let nextOrder = 0
  const maxRunMs = settings.getValue<number>('', 'request.maxRunMs')

  function plan (delayMs: number, action: () => void): void {
    planned.push({ at: now + delayMs, order: nextOrder++, action })
  }

  function createCoordination (host: HostId): ZoneCoordination {
    const self = peers.find(peer => peer.host === host)
    if (self === undefined) throw new Error(`unknown host ${host}`)
    return createZoneCoordination({ self, peers, settings, random: createRandom(random.nextInt(1, 2 ** 30)), proposeLeaseVoters: ({ key, value }) => settings.set(key, value) })
  }

  /** Each host's clock has its own offset and drift; messages carry durations only. */
  const clocks = new Map(peers.map(({ host }, index) => [host, { offset: (index + 1) * 100_000, rate: 1 + (index % 3 - 1) * MAX_CLOCK_DRIFT_FRACTION / 2.1 }]))
  const getClock = (host: HostId): { offset: number, rate: number } => clocks.get(host) ?? { offset: 0, rate: 1 }
  const toLocal = (host: HostId, at: number): number => getClock(host).offset + at * getClock(host).rate
  const toReal = (host: HostId, at: number): number => (at - getClock(host).offset) / getClock(host).rate

  function deliver (from: HostId, to: HostId, message: PeerMessage): void {
    const target = hosts.get(to)
    if (target === undefined || !target.alive) return
    if (target.pausedUntil > now) {
      plan(target.pausedUntil - now + 1, () => deliver(from, to, message))
      return
    }
    if (message.kind === 'grant.given' || message.kind === 'grant.refused') receiveGrant(to, message)
    else if (message.kind === 'grant.askActive') answerActive(to, from, message)
    else runHost(target, context => target.coordination.receive(from, message as ZoneMessage, context))
  }

  function send (from: HostId, to: HostId, message: PeerMessage): void {
    counts.set(message.kind, (counts.get(message.kind) ?? 0) + 1)
    if (from === to) {
      plan(0, () => deliver(from, to, message))
      return
    }
    if (cuts.has(`${from}|${to}`) || random.nextFraction() < faults.lossShare) return
    const copies = random.nextFraction() < faults.duplicateShare ? 2 : 1
    for (let copy = 0; copy < copies; copy++) plan(1 + random.nextInt(0, faults.maxDelayMs), () => deliver(from, to, message))
  }

  function receiveGrant (host: HostId, message: ReceivedGrant['message']): void {
    grants.push({ at: now, host, message })
    if (message.kind === 'grant.refused') return
    const attempt = attempts.get(message.attemptId)
    if (attempt === undefined) return
    const startBy = attempt.requestedAt + message.heldMs + message.startWithinMs
    attempts.delete(message.attemptId)
    plan(attempt.startAfterMs, () => startAttempt(message, attempt.host, attempt, startBy))
  }

  function startAttempt (message: Extract<GrantMessage, { kind: 'grant.given' }>, host: HostId, attempt: AttemptPlan & { adapterKey: AdapterKey }, startBy: number): void {
    const target = hosts.get(host)
    const engine = engines.get(message.endpoint)
    const owner = findOwnerNow(message.endpoint) ?? ''
    if (target?.alive !== true || target.pausedUntil > now || engine === undefined || now > startBy) return
    const endsAt = now + attempt.runMs
    active.get(host)?.set(message.attemptId, { endpoint: message.endpoint, adapterKey: attempt.adapterKey, endsAt })
    const slow = random.nextFraction() < faults.slowShare
    plan(faults.fixedSendMs + random.nextInt(0, slow ? faults.maxSendMs : faults.maxDelayMs), () => {
      if (!engine.reachable || now >= endsAt || active.get(host)?.has(message.attemptId) !== true) return
      if (!engine.resident.has(attempt.adapterKey)) {
        if (now - engine.restartedAt > RESTART_NOTICE_MS) violations.push(`${now}: ${message.attemptId} granted by ${owner} on ${message.endpoint} finds ${attempt.adapterKey} not resident`)
      } else engine.running.set(message.attemptId, { adapterKey: attempt.adapterKey, endsAt })
    })
    plan(attempt.runMs + 1 + faults.maxDelayMs, () => {
      engine.running.delete(message.attemptId)
      active.get(host)?.delete(message.attemptId)
      const to = hosts.get(host)?.coordination.view.getEndpoint(message.endpoint)?.owner
      if (hosts.get(host)?.alive === true && to !== undefined) send(host, to, { kind: 'grant.release', attemptId: message.attemptId, endpoint: message.endpoint, ran: true, runMs: attempt.runMs })
    })
  }

  function answerActive (host: HostId, to: HostId, message: Extract<GrantMessage, { kind: 'grant.askActive' }>): void {
    const mine = [...active.get(host)?.entries() ?? []].filter(([, row]) => row.endpoint === message.endpoint)
    const list = mine.map(([attemptId, { adapterKey, endsAt }]) => ({ attemptId, adapterKey, remainingMs: Math.max(0, endsAt - now) }))
    send(host, to, { kind: 'grant.active', endpoint: message.endpoint, fencing: message.fencing, active: list })
  }

  function handleOutput (host: SimulatedHost, output: HostOutput): void {
    if (output.kind === 'order.send') sendOrder(host, output)
    else if (output.kind === 'order.cut') host.cutOrders.add(output.orderId)
    else if (output.kind === 'endpoint.poll') pollEngine(host, output.endpoint)
    else if (output.kind === 'platform.poll') plan(1, () => answerPlatform(host))
  }

  function sendOrder (host: SimulatedHost, output: OrderSend): void {
    const engine = engines.get(output.endpoint)
    if (engine === undefined) return
    const slow = random.nextFraction() < faults.slowShare
    plan(1 + random.nextInt(0, slow ? faults.maxOrderMs : faults.maxDelayMs), () => receiveOrder(host, engine, output))
  }

  function receiveOrder (host: SimulatedHost, engine: Engine, output: OrderSend): void {
    const finish = (delayMs: number, outcome: Parameters<ZoneCoordination['receiveOrderResult']>[0]['outcome']): void => {
      const lost = random.nextFraction() < faults.lostAnswerShare
      plan(delayMs, () => {
        if (!host.alive) return
        runHost(host, context => host.coordination.receiveOrderResult({ kind: 'order.result', orderId: output.orderId, endpoint: output.endpoint, outcome: lost ? { kind: 'unknown' } : outcome }, context))
      })
    }
    if (host.cutOrders.has(output.orderId) || !engine.reachable) {
      finish(1, { kind: 'unknown' })
      return
    }
    if (engine.checksFencing && output.fencing < engine.fencing) {
      finish(1, { kind: 'refusedFencing', highestFencing: engine.fencing })
      return
    }
    engine.fencing = Math.max(engine.fencing, output.fencing)
    const later = orders.find(applied => applied.endpoint === output.endpoint && applied.fencing > output.fencing)
    if (later !== undefined) violations.push(`${now}: ${host.host} orders ${output.endpoint} with ${output.fencing} after ${later.host} with ${later.fencing}`)
    orders.push({ at: now, host: host.host, endpoint: output.endpoint, order: output.order, fencing: output.fencing })
    if (output.order.kind === 'load') applyLoad({ engine, adapterKey: output.order.adapterKey, finish, plan })
    else if (output.order.kind === 'evict') violations.push(...applyEvict({ engine, adapterKey: output.order.adapterKey, finish, now }))
    else finish(1, { kind: 'done', tookMs: 1 })
  }

  function pollEngine (host: SimulatedHost, endpoint: string): void {
    const engine = engines.get(endpoint)
    plan(1 + random.nextInt(0, faults.maxDelayMs), () => {
      if (engine === undefined || !engine.reachable) {
        runHost(host, context => host.coordination.receiveUnreachable({ kind: 'endpoint.unreachable', endpoint }, context))
        return
      }
      const report = takeReport(engine, now, random.nextInt(0, faults.maxReportAgeMs))
      plan(1 + random.nextInt(0, faults.maxDelayMs), () => {
        runHost(host, context => host.coordination.receiveReport({ kind: 'endpoint.report', endpoint, report }, context))
      })
    })
  }

  function answerPlatform (host: SimulatedHost): void {
    const rows = [...engines.values()].map(({ row }) => row)
    runHost(host, context => host.coordination.receivePlatformList({ kind: 'platform.list', endpoints: rows, hosts: [...hosts.values()].filter(({ alive }) => alive).map(({ host: name }) => ({ host: name, zone: 'z1', leaving: false })) }, context))
  }

  /** Runs one host: handles the event, if given, then runs its zone system. Delayed while the host is paused. */
  function runHost (host: SimulatedHost, event: ((context: RunContext) => void) | undefined): void {
    if (!host.alive) return
    if (host.pausedUntil > now) {
      if (event !== undefined) plan(host.pausedUntil - now + 1, () => runHost(host, event))
      return
    }
    const context: RunContext = {
      now: toLocal(host.host, now) + CLOCK_GRAIN_MS,
      wallNow: WALL_START_MS + now,
      send: (to, message) => send(host.host, to, message),
      emit: output => handleOutput(host, output)
    }
    event?.(context)
    host.coordination.run(context)
    checkOwners(host)
  }

  function checkOwners (host: SimulatedHost): void {
    if (!host.coordination.view.isServing(toLocal(host.host, now))) return
    for (const { endpoint } of host.coordination.describeEndpoints()) {
      for (const other of hosts.values()) {
        if (other === host || !other.alive || other.pausedUntil > now || !other.coordination.view.isServing(toLocal(other.host, now))) continue
        if (other.coordination.describeEndpoints().some(row => row.endpoint === endpoint)) violations.push(`${now}: ${host.host} and ${other.host} both own ${endpoint}`)
      }
    }
  }

  function findNextDue (): number {
    let next = Infinity
    for (const item of planned) next = Math.min(next, item.at)
    for (const host of hosts.values()) {
      if (!host.alive || host.pausedUntil > now) continue
      next = Math.min(next, Math.max(now, toReal(host.host, host.coordination.getNextAt() ?? Infinity)))
    }
    return next
  }

  function runPlanned (): void {
    for (;;) {
      let first = -1
      for (let index = 0; index < planned.length; index++) {
        const item = planned[index]
        const best = planned[first]
        if (item === undefined || item.at > now) continue
        if (best === undefined || item.at < best.at || (item.at === best.at && item.order < best.order)) first = index
      }
      const [item] = first < 0 ? [] : planned.splice(first, 1)
      if (item === undefined) return
      item.action()
    }
  }

  function runFor (durationMs: number): void {
    const end = now + durationMs
    let rounds = 0
    for (;;) {
      const next = findNextDue()
      if (next > end) break
      rounds = next > now ? 0 : rounds + 1
      if (rounds > 1000) throw new Error(`virtual time does not advance beyond ${now} ms`)
      now = Math.max(now, next)
      runPlanned()
      for (const host of hosts.values()) {
        const due = host.coordination.getNextAt()
        if (host.alive && due !== undefined && toReal(host.host, due) <= now + CLOCK_GRAIN_MS) runHost(host, undefined)
      }
      runPlanned()
    }
    now = end
  }

  function findOwnerNow (endpoint: string): HostId | undefined {
    for (const host of hosts.values()) {
      const owns = host.alive && host.coordination.view.isServing(toLocal(host.host, now)) && host.coordination.describeEndpoints().some(row => row.endpoint === endpoint)
      if (owns) return host.host
    }
    return undefined
  }

  function requestGrant (request: Parameters<ZoneSimulation['requestGrant']>[0]): void {
    const { host, endpoint, adapterKey, attemptId } = request
    const plan: AttemptPlan = { runMs: request.runMs ?? 100, startAfterMs: request.startAfterMs ?? 0 }
    attempts.set(attemptId, { ...plan, host, adapterKey, requestedAt: now, maxRunMs })
    const owner = request.to ?? (endpoint === undefined ? undefined : hosts.get(host)?.coordination.view.getEndpoint(endpoint)?.owner)
    if (owner === undefined) return
    send(host, owner, { kind: 'grant.ask', attemptId, endpoint, pool: endpoint === undefined ? 'p' : undefined, adapterKey, serviceClass: request.serviceClass ?? 'standard', remainingMs: request.remainingMs ?? 30_000, maxRunMs })
  }

  function stopHost (row: SimulatedHost): void {
    row.alive = false
    row.pausedUntil = 0
    active.get(row.host)?.clear()
    for (const engine of engines.values()) for (const [attemptId] of engine.running) if (attemptId.startsWith(`${row.host}.`)) engine.running.delete(attemptId)
  }

  for (const { host } of peers) {
    hosts.set(host, { host, coordination: createCoordination(host), alive: true, pausedUntil: 0, leaving: false, cutOrders: new Set() })
    active.set(host, new Map())
  }

  return {
    hosts,
    engines,
    orders,
    grants,
    violations,
    faults,
    runFor,
    send,
    requestGrant,
    getNow: () => now,
    addEngine: engine => {
      const row: EndpointRow = { endpoint: engine.endpoint, kind: 'engine', zone: engine.zone ?? 'z1', region: 'r', url: `http://${engine.endpoint}`, pool: 'p', leaving: false }
      const added: Engine = {
        row, slots: engine.slots ?? 2, batchLimit: engine.batchLimit ?? 8, checksFencing: engine.checksFencing ?? true, instance: 1, restartedAt: -Infinity, fencing: 0, reachable: true, failLoads: false, resident: new Set(engine.resident ?? []), loading: new Set(), running: new Map(), snapshots: []
      }
      engines.set(engine.endpoint, added)
      return added
    },
    cut: (a, b) => {
      cuts.add(`${a}|${b}`)
      cuts.add(`${b}|${a}`)
    },
    heal: () => cuts.clear(),
    crash: host => {
      const row = hosts.get(host)
      if (row === undefined) return
      stopHost(row)
    },
    restart: host => {
      const row = hosts.get(host)
      if (row === undefined) return
      if (row.alive) stopHost(row)
      row.alive = true
      row.coordination = createCoordination(host)
    },
    pause: (host, durationMs) => {
      const row = hosts.get(host)
      if (row === undefined) return
      row.pausedUntil = now + durationMs
      plan(durationMs, () => runHost(row, context => row.coordination.handlePause(context)))
    },
    beginShutdown: host => {
      const row = hosts.get(host)
      if (row !== undefined) runHost(row, context => row.coordination.beginShutdown(context))
    },
    restartEngine: endpoint => {
      const engine = engines.get(endpoint)
      if (engine === undefined) return
      engine.instance++
      engine.restartedAt = now
      engine.fencing = 0
      engine.resident.clear()
      engine.loading.clear()
      engine.running.clear()
    },
    findHolder: () => {
      for (const host of hosts.values()) if (host.alive && host.coordination.describeZones()[0]?.budget !== undefined) return host.host
      return undefined
    },
    findOwner: findOwnerNow,
    findSubLeaseEnd: host => {
      let end = now
      while (hosts.get(host)?.coordination.view.isServing(toLocal(host, end)) === true) end++
      return end
    },
    countMessages: kind => counts.get(kind) ?? 0
  }
}
