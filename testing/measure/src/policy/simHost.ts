/** One entry host: the zone's system and the requests system on virtual time, joined as the host core joins them. */
import { createRandom } from '@catkinferry/core.random'
import type { HostPlace, PeerRow, SettingsView } from '@catkinferry/core.types'
import type { HostEvent, HostOutput, RunContext } from '@catkinferry/host.events'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import { createRequests } from '@catkinferry/routing.requests'
import type { Requests } from '@catkinferry/routing.requests'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createZoneCoordination } from '@catkinferry/zone.coordination'
import type { ZoneCoordination } from '@catkinferry/zone.coordination'
import type { VirtualTime } from './virtualTime.ts'

/** The loop takes up what happens within this time in one run. */
const TURN_MS = 0.2
const WALL_START = 1_800_000_000_000

export interface SimHost {
  readonly place: HostPlace
  readonly requests: Requests
  readonly zone: ZoneCoordination
  readonly receive: (event: HostEvent) => void
  readonly receivePeer: (from: string, message: PeerMessage) => void
  readonly begin: () => void
}

export interface SimHostOptions {
  readonly place: HostPlace
  readonly peers: readonly PeerRow[]
  readonly settings: SettingsView
  readonly time: VirtualTime
  readonly seed: number
  readonly emit: (output: HostOutput) => void
  readonly sendPeer: (to: string, message: PeerMessage) => void
}

const NO_LEDGER: LedgerClient = {
  take: () => { throw new Error('the measured work is idempotent') },
  finish: () => { throw new Error('the measured work is idempotent') }
}

const REQUESTS_MESSAGES: ReadonlySet<PeerMessage['kind']> = new Set(['grant.given', 'grant.refused', 'grant.askActive'])

/** Creates a host that begins when told. */
export function createSimHost (opts: SimHostOptions): SimHost {
  const { place, peers, settings, time, seed } = opts
  const fleetPath = `fleet/${place.region}/${place.zone}`
  const zone = createZoneCoordination({ self: place, peers, settings, random: createRandom(seed), fleetPath })
  const requests = createRequests({ self: place, fleetPath, settings, zone: zone.view, ledger: NO_LEDGER, random: createRandom(seed + 1_000) })
  const looped: PeerMessage[] = []
  let plannedAt = Infinity

  const createContext = (): RunContext => ({
    now: time.getNow(),
    wallNow: WALL_START + time.getNow(),
    send: (to, message) => {
      if (to === place.host) looped.push(message)
      else opts.sendPeer(to, message)
    },
    emit: opts.emit
  })

  function handle (from: string, message: PeerMessage, context: RunContext): void {
    if (REQUESTS_MESSAGES.has(message.kind)) requests.receive(from, message as never, context)
    else zone.receive(from, message as never, context)
  }

  function drainLooped (context: RunContext): void {
    for (let message = looped.shift(); message !== undefined; message = looped.shift()) handle(place.host, message, context)
  }

  function run (): void {
    plannedAt = Infinity
    const context = createContext()
    drainLooped(context)
    do {
      zone.run(context)
      requests.run(context)
      drainLooped(context)
    } while (looped.length > 0)
    const due = [zone.getNextAt(), requests.getNextAt()].filter(at => at !== undefined)
    if (due.length > 0) planRun(Math.max(time.getNow() + TURN_MS, Math.min(...due)))
  }

  function planRun (at: number): void {
    if (at >= plannedAt) return
    plannedAt = at
    time.at(at, () => { if (plannedAt === at) run() })
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
    place,
    requests,
    zone,
    receive: event => {
      const handler = handlers[event.kind] as ((event: HostEvent, context: RunContext) => void) | undefined
      handler?.(event, createContext())
      planRun(time.getNow() + TURN_MS)
    },
    receivePeer: (from, message) => {
      handle(from, message, createContext())
      planRun(time.getNow() + TURN_MS)
    },
    begin: () => run()
  }
}
