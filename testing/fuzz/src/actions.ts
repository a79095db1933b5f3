/**
 * Actions of the stateful fuzzer: requests, settings changes and faults, with the fast-check arbitraries that generate
 * them and the handlers that apply them to the simulated deployment.
 */
import type { ServiceClass } from '@catkinferry/core.types'
import { PLATFORM } from '@catkinferry/testing.network'
import fc from 'fast-check'
import { formatAdapter, formatAdapterPath, formatClaimKey, submitWorldChange } from './world.ts'
import type { KeyedWork, World } from './world.ts'

export type Action =
  | { readonly kind: 'submit', readonly host: number, readonly adapter: number, readonly pinned: boolean, readonly serviceClass: ServiceClass, readonly times: number }
  | { readonly kind: 'submitOnce', readonly host: number, readonly adapter: number, readonly service: boolean, readonly keyed: boolean }
  | { readonly kind: 'resend', readonly host: number, readonly key: number }
  | { readonly kind: 'abandon', readonly token: number }
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'crash', readonly host: number }
  | { readonly kind: 'start', readonly host: number }
  | { readonly kind: 'wipe', readonly host: number }
  | { readonly kind: 'stop', readonly host: number }
  | { readonly kind: 'pause', readonly host: number, readonly ms: number }
  | { readonly kind: 'delayOutputs', readonly host: number, readonly ms: number }
  | { readonly kind: 'cutZone', readonly zone: number }
  | { readonly kind: 'cutHost', readonly host: number }
  | { readonly kind: 'cutOneWay', readonly from: number, readonly to: number }
  | { readonly kind: 'cutEndpoints', readonly host: number }
  | { readonly kind: 'cutPlatform' }
  | { readonly kind: 'degrade', readonly drop: number, readonly duplicate: number, readonly delayMs: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'engineRestart', readonly engine: number }
  | { readonly kind: 'engineFault', readonly engine: number, readonly fault: 'loadsFail' | 'silent' | 'crossedEcho' | 'breaks', readonly on: boolean }
  | { readonly kind: 'slowDisks', readonly ms: number }
  | { readonly kind: 'restartAll' }
  | { readonly kind: 'serviceRestart', readonly service: number }
  | { readonly kind: 'serviceSilent', readonly service: number, readonly on: boolean }
  | { readonly kind: 'leave', readonly engine: number }
  | { readonly kind: 'change', readonly host: number, readonly rival: number, readonly adapter: number, readonly version: 'v1' | 'v2' }
  | { readonly kind: 'resendChange', readonly host: number, readonly change: number }

const index = fc.nat({ max: 9 })
const ms = fc.integer({ min: 1, max: 6_000 })
const serviceClass = fc.constantFrom<ServiceClass>('urgent', 'standard', 'overnight')

type Arbitraries = { readonly [Kind in Action['kind']]: { readonly weight: number, readonly arbitrary: fc.Arbitrary<Extract<Action, { kind: Kind }>> } }

/** Weight and arbitrary of each kind of action. */
const arbitraries: Arbitraries = {
  submit: { weight: 14, arbitrary: fc.record({ kind: fc.constant('submit'), host: index, adapter: index, pinned: fc.boolean(), serviceClass, times: fc.integer({ min: 1, max: 5 }) }) },
  submitOnce: { weight: 8, arbitrary: fc.record({ kind: fc.constant('submitOnce'), host: index, adapter: index, service: fc.boolean(), keyed: fc.boolean() }) },
  resend: { weight: 6, arbitrary: fc.record({ kind: fc.constant('resend'), host: index, key: index }) },
  abandon: { weight: 1, arbitrary: fc.record({ kind: fc.constant('abandon'), token: index }) },
  wait: { weight: 14, arbitrary: fc.record({ kind: fc.constant('wait'), ms }) },
  crash: { weight: 3, arbitrary: fc.record({ kind: fc.constant('crash'), host: index }) },
  start: { weight: 5, arbitrary: fc.record({ kind: fc.constant('start'), host: index }) },
  wipe: { weight: 1, arbitrary: fc.record({ kind: fc.constant('wipe'), host: index }) },
  stop: { weight: 1, arbitrary: fc.record({ kind: fc.constant('stop'), host: index }) },
  pause: { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause'), host: index, ms }) },
  delayOutputs: { weight: 3, arbitrary: fc.record({ kind: fc.constant('delayOutputs'), host: index, ms }) },
  cutZone: { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutZone'), zone: index }) },
  cutHost: { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutHost'), host: index }) },
  cutOneWay: { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutOneWay'), from: index, to: index }) },
  cutEndpoints: { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutEndpoints'), host: index }) },
  cutPlatform: { weight: 1, arbitrary: fc.record({ kind: fc.constant('cutPlatform') }) },
  degrade: { weight: 2, arbitrary: fc.record({ kind: fc.constant('degrade'), drop: fc.nat({ max: 30 }), duplicate: fc.nat({ max: 30 }), delayMs: fc.integer({ min: 1, max: 400 }) }) },
  heal: { weight: 5, arbitrary: fc.record({ kind: fc.constant('heal') }) },
  engineRestart: { weight: 2, arbitrary: fc.record({ kind: fc.constant('engineRestart'), engine: index }) },
  engineFault: { weight: 2, arbitrary: fc.record({ kind: fc.constant('engineFault'), engine: index, fault: fc.constantFrom('loadsFail', 'silent', 'crossedEcho', 'breaks'), on: fc.boolean() }) },
  slowDisks: { weight: 2, arbitrary: fc.record({ kind: fc.constant('slowDisks'), ms: fc.integer({ min: 10, max: 1_500 }) }) },
  restartAll: { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartAll') }) },
  serviceRestart: { weight: 1, arbitrary: fc.record({ kind: fc.constant('serviceRestart'), service: index }) },
  serviceSilent: { weight: 1, arbitrary: fc.record({ kind: fc.constant('serviceSilent'), service: index, on: fc.boolean() }) },
  leave: { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave'), engine: index }) },
  change: { weight: 5, arbitrary: fc.record({ kind: fc.constant('change'), host: index, rival: index, adapter: index, version: fc.constantFrom('v1', 'v2') }) },
  resendChange: { weight: 2, arbitrary: fc.record({ kind: fc.constant('resendChange'), host: index, change: index }) }
}

/** Creates an arbitrary of action lists, limited to `kinds` if given. */
export function createActionsArbitrary (opts: { minLength: number, maxLength: number, kinds?: ReadonlyArray<Action['kind']> }): fc.Arbitrary<Action[]> {
  const { minLength, maxLength, kinds = Object.keys(arbitraries) as Array<Action['kind']> } = opts
  const action = fc.oneof(...kinds.map(kind => {
    const { weight, arbitrary } = arbitraries[kind]
    return { weight, arbitrary: arbitrary as fc.Arbitrary<Action> }
  }))
  return fc.array(action, { minLength, maxLength })
}

function pickAt<T> (items: readonly T[], at: number): T {
  const item = items[at % items.length]
  if (item === undefined) throw new RangeError('cannot pick an item from an empty list')
  return item
}

function pickHost (world: World, at: number): string {
  return pickAt(world.cluster.listHostNames(), at)
}

function pickEngine (world: World, at: number) {
  return pickAt([...world.cluster.engines.values()], at)
}

function getZone (host: string): string {
  return host.slice(0, host.lastIndexOf('-'))
}

const REQUEST_DEADLINE_MS = 15_000
const MAX_DELAY_SPREAD_MS = 20

function submitRequest (world: World, given: { host: string, adapter?: string, version?: string, idempotent: boolean, claimKey?: string, serviceClass: ServiceClass }): void {
  const { cluster } = world
  const host = cluster.hosts.get(given.host)
  if (host?.isRunning() !== true) return
  const request = cluster.callers.submit({ ...given, caller: `caller-${given.host}`, deadlineMs: REQUEST_DEADLINE_MS })
  host.receive({ kind: 'caller.submit', request })
}

function submitKeyedWork (world: World, host: string, { claimKey, adapter }: KeyedWork): void {
  submitRequest(world, { host, adapter, version: adapter === undefined ? undefined : 'v1', idempotent: false, claimKey, serviceClass: 'urgent' })
}

function cutLinks (world: World, from: (participant: string) => boolean, to: (participant: string) => boolean): void {
  world.cluster.faults.cut({ from, to })
}

function cutBothWays (world: World, inside: (participant: string) => boolean, outside: (participant: string) => boolean): void {
  cutLinks(world, inside, outside)
  cutLinks(world, outside, inside)
}

function isHost (world: World, participant: string): boolean {
  return world.cluster.hosts.has(participant)
}

type Handler<Kind extends Action['kind']> = (world: World, action: Extract<Action, { kind: Kind }>) => void

const handlers: { readonly [Kind in Action['kind']]: Handler<Kind> } = {
  submit: (world, action) => {
    const adapter = formatAdapter(action.adapter % world.cluster.shape.adapters)
    const host = pickHost(world, action.host)
    for (let n = 0; n < action.times; n++) {
      submitRequest(world, { host, adapter, version: action.pinned ? 'v1' : undefined, idempotent: true, serviceClass: action.serviceClass })
    }
  },
  submitOnce: (world, action) => {
    const host = pickHost(world, action.host)
    const adapter = formatAdapter(action.adapter % world.cluster.shape.adapters)
    if (!action.keyed) {
      submitRequest(world, { host, adapter: action.service ? undefined : adapter, version: action.service ? undefined : 'v1', idempotent: false, serviceClass: 'urgent' })
      return
    }
    const work: KeyedWork = { claimKey: formatClaimKey(world, world.keyedWork.length), adapter: action.service ? undefined : adapter }
    world.keyedWork.push(work)
    submitKeyedWork(world, host, work)
  },
  resend: (world, action) => {
    if (world.keyedWork.length === 0) return
    submitKeyedWork(world, pickHost(world, action.host), pickAt(world.keyedWork, world.keyedWork.length - 1 - action.key % world.keyedWork.length))
  },
  abandon: (world, action) => {
    const open = world.cluster.listHostNames().flatMap(host => world.cluster.callers.listOpen(host))
    if (open.length === 0) return
    const row = world.cluster.callers.abandon(pickAt(open, action.token))
    if (row !== undefined) world.cluster.hosts.get(row.host)?.receive({ kind: 'caller.gone', requestId: row.requestId })
  },
  wait: (world, action) => { world.cluster.runFor(action.ms) },
  crash: (world, action) => { world.cluster.crash(pickHost(world, action.host)) },
  start: (world, action) => { world.cluster.start(pickHost(world, action.host)) },
  wipe: (world, action) => {
    const host = pickHost(world, action.host)
    if (!world.cluster.disks.has(host) || world.wipedHosts.size > 0) return
    world.wipedHosts.add(host)
    world.cluster.crash(host)
    world.cluster.start(host, { disk: 'wiped' })
  },
  stop: (world, action) => { world.cluster.stopGracefully(pickHost(world, action.host)) },
  pause: (world, action) => { world.cluster.hosts.get(pickHost(world, action.host))?.pause(action.ms) },
  delayOutputs: (world, action) => { world.cluster.hosts.get(pickHost(world, action.host))?.delayNextOutputs(action.ms) },
  cutZone: (world, action) => {
    const { zone } = pickAt(world.cluster.shape.zones, action.zone)
    cutBothWays(world, participant => participant.startsWith(zone), participant => !participant.startsWith(zone) && participant !== PLATFORM)
  },
  cutHost: (world, action) => {
    const host = pickHost(world, action.host)
    cutBothWays(world, participant => participant === host, participant => participant !== host && isHost(world, participant))
  },
  cutOneWay: (world, action) => {
    const from = pickHost(world, action.from)
    const to = pickHost(world, action.to)
    if (from !== to) cutLinks(world, participant => participant === from, participant => participant === to)
  },
  cutEndpoints: (world, action) => {
    const host = pickHost(world, action.host)
    cutBothWays(world, participant => participant === host, participant => !isHost(world, participant) && participant.startsWith(getZone(host)))
  },
  cutPlatform: world => { cutBothWays(world, participant => participant === PLATFORM, participant => isHost(world, participant)) },
  degrade: (world, action) => {
    world.cluster.faults.setQuality({
      dropFraction: action.drop / 100,
      duplicateFraction: action.duplicate / 100,
      delayMinMs: action.delayMs,
      delayMaxMs: action.delayMs + MAX_DELAY_SPREAD_MS
    })
  },
  heal: world => { world.cluster.faults.healAll() },
  engineRestart: (world, action) => { pickEngine(world, action.engine).restart() },
  engineFault: (world, action) => { pickEngine(world, action.engine).faults[action.fault] = action.on },
  slowDisks: (world, action) => { for (const disk of world.cluster.disks.values()) disk.setSyncMs(action.ms) },
  restartAll: world => {
    const names = world.cluster.listHostNames()
    for (const host of names) world.cluster.crash(host)
    for (const host of names) world.cluster.start(host)
  },
  serviceRestart: (world, action) => { pickAt([...world.cluster.services.values()], action.service).restart() },
  serviceSilent: (world, action) => { pickAt([...world.cluster.services.values()], action.service).faults.silent = action.on },
  leave: (world, action) => { world.cluster.setLeaving(pickAt([...world.cluster.engines.keys()], action.engine)) },
  change: (world, action) => {
    const path = formatAdapterPath(action.adapter % world.cluster.shape.adapters)
    const expectedRevision = world.nodeRevisions.get(path) ?? 1
    for (const [host, version] of [[action.host, action.version], [action.rival, action.version === 'v1' ? 'v2' : 'v1']] as const) {
      const change = { changeId: `change-${world.changeCount++}`, changes: [{ path, expectedRevision, values: { inForce: version } }] }
      world.changes.push(change)
      submitWorldChange(world, pickHost(world, host), change)
    }
  },
  resendChange: (world, action) => {
    if (world.changes.length === 0) return
    submitWorldChange(world, pickHost(world, action.host), pickAt(world.changes, action.change))
  }
}

export function applyAction (world: World, action: Action): void {
  const handler = handlers[action.kind] as Handler<Action['kind']>
  handler(world, action)
}
