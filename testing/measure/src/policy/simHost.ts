/** Simulated entry host of the policy experiment: zone coordination and request routing on virtual time, connected as in the host core. */
import { createRandom } from '@catkinferry/core.random'
import type { HostLocation, PeerRow, SettingsView } from '@catkinferry/core.types'
import type { HostEvent, HostOutput, RunContext } from '@catkinferry/host.events'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import { createRequests } from '@catkinferry/routing.requests'
import type { Requests } from '@catkinferry/routing.requests'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createZoneCoordination } from '@catkinferry/zone.coordination'
import type { ZoneCoordination } from '@catkinferry/zone.coordination'
import type { VirtualTime } from './virtualTime.ts'

/** Events within this time are handled in one run, as in one turn of an event loop. */
const TURN_MS = 0.2
const WALL_START_MS = 1_800_000_000_000

export interface SimHost {
  readonly location: HostLocation
  readonly requests: Requests
  readonly zone: ZoneCoordination
  readonly receive: (event: HostEvent) => void
  readonly receivePeer: (from: string, message: PeerMessage) => void
  readonly begin: () => void
}

export interface SimHostOptions {
  readonly location: HostLocation
  readonly peers: readonly PeerRow[]
  readonly settings: SettingsView
  readonly time: VirtualTime
  readonly seed: number
  readonly emit: (output: HostOutput) => void
  readonly sendPeer: (to: string, message: PeerMessage) => void
}

const NO_LEDGER: LedgerClient = {
  take: () => { throw new Error('unexpected ledger call: all requests of the experiment are idempotent') },
  finish: () => { throw new Error('unexpected ledger call: all requests of the experiment are idempotent') }
}

const REQUESTS_MESSAGES: ReadonlySet<PeerMessage['kind']> = new Set(['grant.given', 'grant.refused', 'grant.askActive'])

/** Creates a host; nothing runs before `begin`. */
export function createSimHost (opts: SimHostOptions): SimHost {
  const { location, peers, settings, time, seed } = opts
  const fleetPath = `fleet/${location.region}/${location.zone}`
  const zone = createZoneCoordination({ self: location, peers, settings, random: createRandom(seed), fleetPath })
  const requests = createRequests({ self: location, fleetPath, settings, zone: zone.view, ledger: NO_LEDGER, random: createRandom(seed + 1_000) })
  const loopback: PeerMessage[] = []
  let scheduledAt = Infinity

  const createContext = (): RunContext => ({
    now: time.getNow(),
    wallNow: WALL_START_MS + time.getNow(),
    send: (to, message) => {
      if (to === location.host) loopback.push(message)
      else opts.sendPeer(to, message)
    },
    emit: opts.emit
  })

  function handle (from: string, message: PeerMessage, context: RunContext): void {
    if (REQUESTS_MESSAGES.has(message.kind)) requests.receive(from, message as never, context)
    else zone.receive(from, message as never, context)
  }

  function drainLoopback (context: RunContext): void {
    for (let message = loopback.shift(); message !== undefined; message = loopback.shift()) handle(location.host, message, context)
  }

  function run (): void {
    scheduledAt = Infinity
    const context = createContext()
    drainLoopback(context)
    do {
      zone.run(context)
      requests.run(context)
      drainLoopback(context)
    } while (loopback.length > 0)
    const due = [zone.getNextAt(), requests.getNextAt()].filter(at => at !== undefined)
    if (due.length > 0) scheduleRun(Math.max(time.getNow() + TURN_MS, Math.min(...due)))
  }

  function scheduleRun (at: number): void {
    if (at >= scheduledAt) return
    scheduledAt = at
    time.scheduleAt(at, () => { if (scheduledAt === at) run() })
  }

  const handlers: { readonly [Kind in HostEvent['kind']]?: (event: Extract<HostEvent, { kind: Kind }>, context: RunContext) => void } = {
    'caller.submit': ({ request }, context) => requests.receiveSubmit(request, context),
    'attempt.started': (event, context) => requests.receiveAttempt(event, context),
    'attempt.chunk': (event, context) => requests.receiveAttempt(event, context),
    'attempt.ended': (event, context) => requests.receiveAttempt(event, context),
    'attempt.failed': (event, context) => requests.receiveAttempt(event, context),
    'order.result': (event, context) => zone.receiveOrderResult(event, context),
    'endpoint.report': (event, context) => zone.receiveReport(event, context),
    'endpoint.unreachable': (event, context) => zone.receiveUnreachable(event, context),
    'platform.list': (event, context) => zone.receivePlatformList(event, context)
  }

  return {
    location,
    requests,
    zone,
    receive: event => {
      const handler = handlers[event.kind] as ((event: HostEvent, context: RunContext) => void) | undefined
      handler?.(event, createContext())
      scheduleRun(time.getNow() + TURN_MS)
    },
    receivePeer: (from, message) => {
      handle(from, message, createContext())
      scheduleRun(time.getNow() + TURN_MS)
    },
    begin: () => run()
  }
}
