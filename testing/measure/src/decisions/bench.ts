/** Benchmark of the core experiment: request routing of one host in a large zone, driven as fast as one core allows. */
import { createPopularity } from '@catkinferry/adapters.popularity'
import { createRandom } from '@catkinferry/core.random'
import { formatAdapterKey } from '@catkinferry/core.types'
import type { CallerRequest, EndpointView, SettingsView, ZoneView } from '@catkinferry/core.types'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { LedgerClient } from '@catkinferry/ledger.claims'
import { createRequests } from '@catkinferry/routing.requests'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createSimSettings, POOL, VERSION } from '../policy/simSettings.ts'

const HOST = 'h0'
const OWNERS = 40
const SLOTS = 16
const BATCH_LIMIT = 64
const CALLERS = 200
const EXPECTED_LOAD_MS = 250
const EXPECTED_RUN_MS = 2_000
/** Requests in flight at a time: each ends this many decisions after it began. */
const IN_FLIGHT = 200
const RATE_LIMIT_OFF = 1_000_000

export interface BenchOptions {
  readonly adapters: number
  /** Engines of one pool in the zone. */
  readonly endpoints: number
  readonly requests: number
  readonly seed: number
}

export interface BenchResults {
  /** Mean microseconds per request in admission, queue, choice of an engine and grant request. */
  readonly decisionMicros: number
  /** Mean microseconds per request from its submission to its end. */
  readonly requestMicros: number
}

function createEndpoints (opts: BenchOptions): EndpointView[] {
  const random = createRandom(opts.seed)
  return Array.from({ length: opts.endpoints }, (_, index) => {
    const resident = new Set(Array.from({ length: SLOTS }, () => formatAdapterKey(`a${random.nextInt(0, opts.adapters - 1)}`, VERSION)))
    return {
      endpoint: `zone-a-e${index}`,
      kind: 'engine',
      zone: 'zone-a',
      region: 'region-1',
      url: `http://e${index}`,
      pool: POOL,
      leaving: false,
      owner: `h${1 + index % OWNERS}`,
      fencing: 1,
      isResident: key => resident.has(key),
      isLoading: () => false,
      running: random.nextInt(0, BATCH_LIMIT - 1),
      waiting: 0,
      batchLimit: BATCH_LIMIT,
      slots: SLOTS,
      freeSlots: 1,
      expectedLoadMs: EXPECTED_LOAD_MS,
      expectedRunMs: EXPECTED_RUN_MS,
      reportAgeMs: 100
    }
  })
}

function createZone (endpoints: readonly EndpointView[]): ZoneView {
  const byId = new Map(endpoints.map(view => [view.endpoint, view]))
  return {
    isServing: () => true,
    getLeaseHolder: () => 'h1',
    listHosts: () => [HOST],
    listEndpoints: () => endpoints,
    getEndpoint: endpoint => byId.get(endpoint),
    hasEndpointStates: () => true,
    listOtherZones: () => []
  }
}

/** Settings whose adapters are looked up in a table of the given size. */
function createSettings (adapters: number): SettingsView {
  const base = createSimSettings({ 'caller.requestsPerSecond': RATE_LIMIT_OFF, 'caller.burst': RATE_LIMIT_OFF, 'caller.concurrency': RATE_LIMIT_OFF })
  const table = new Map(Array.from({ length: adapters }, (_, index) => [`a${index}`, base.resolveAdapter(`a${index}`)]))
  return { ...base, resolveAdapter: adapter => table.get(adapter) }
}

function createRequest (index: number, adapter: string): CallerRequest {
  return {
    requestId: `r${index}`,
    caller: `caller-${index % CALLERS}`,
    work: { kind: 'adapter', adapter, form: 'chat', body: { prompt: 'a prompt of some length' }, stream: true, promptTokens: 200, maxTokens: 200, prefixHash: `p${index % 500}` },
    idempotent: true,
    serviceClass: index % 5 === 0 ? 'urgent' : 'standard',
    deadlineMs: 30_000
  }
}

type GrantRequest = Extract<PeerMessage, { kind: 'grant.ask' }>

export function runDecisions (opts: BenchOptions): BenchResults {
  const random = createRandom(opts.seed + 1)
  const popularity = createPopularity()
  const grantRequests: GrantRequest[] = []
  let now = 0
  let ended = 0
  const context: RunContext = {
    get now () { return now },
    get wallNow () { return now },
    send: (_to, message) => { if (message.kind === 'grant.ask') grantRequests.push(message) },
    emit: (output: HostOutput) => { if (output.kind === 'caller.end') ended += 1 }
  }
  const requests = createRequests({
    self: { host: HOST, zone: 'zone-a', region: 'region-1' },
    fleetPath: 'fleet/region-1/zone-a',
    settings: createSettings(opts.adapters),
    zone: createZone(createEndpoints(opts)),
    ledger: {} as LedgerClient,
    random
  })
  const adapters = Array.from({ length: opts.requests }, () => `a${Math.floor(opts.adapters * random.nextFraction() ** 3)}`)

  function finishRequest (grantRequest: GrantRequest): void {
    const { attemptId, endpoint = '', adapterKey } = grantRequest
    const echo = { attemptId, adapter: adapterKey.slice(0, -VERSION.length - 1), version: VERSION }
    requests.receive('h1', { kind: 'grant.given', attemptId, endpoint, url: 'http://e', fencing: 1, heldMs: 0, startWithinMs: 500, loadStallMs: 0 }, context)
    requests.receiveAttempt({ kind: 'attempt.started', attemptId, echo, status: 200 }, context)
    requests.receiveAttempt({ kind: 'attempt.chunk', attemptId, echo, index: 0, data: 'x', tokens: 1 }, context)
    requests.receiveAttempt({ kind: 'attempt.ended', attemptId, echo, chunks: 1 }, context)
    requests.run(context)
  }

  let decisionNs = 0n
  const startedAt = process.hrtime.bigint()
  adapters.forEach((adapter, index) => {
    now += 0.2
    const before = process.hrtime.bigint()
    popularity.record(formatAdapterKey(adapter, VERSION), now)
    requests.receiveSubmit(createRequest(index, adapter), context)
    requests.run(context)
    decisionNs += process.hrtime.bigint() - before
    const oldest = grantRequests.length > IN_FLIGHT ? grantRequests.shift() : undefined
    if (oldest !== undefined) finishRequest(oldest)
  })
  const totalNs = process.hrtime.bigint() - startedAt
  if (ended < opts.requests * 0.9) throw new Error(`only ${ended} of ${opts.requests} requests ended`)
  return { decisionMicros: Number(decisionNs) / opts.requests / 1_000, requestMicros: Number(totalNs) / opts.requests / 1_000 }
}
