/** Runs a simulated deployment under a steady load and measures the messages and CPU time of its hosts, for the capacity experiment. */
import { createRandom } from '@catkinferry/core.random'
import type { NodeChange } from '@catkinferry/core.types'
import type { HostOutput } from '@catkinferry/host.events'
import { createCluster, encodeMessage, ENGINE_POOL, MODEL } from '@catkinferry/testing.network'
import type { Cluster, DeploymentShape } from '@catkinferry/testing.network'

const SETTLE_MS = 8_000
const MEASURED_MS = 10_000
const STEP_MS = 100
/** Settings for a weight store that is too fast to limit the load. */
const UNLIMITED_STORE_SETTINGS = { 'loads.perSecond': 500, 'loads.fullSpeedInFlight': 200, 'loads.maxInFlight': 400 }
/** An adapter takes two settings nodes, and a change may name at most 1,000. */
const ADAPTERS_PER_CHANGE = 400
const DEADLINE_MS = 10_000
const MS_PER_SECOND = 1_000
/** Length prefix of a frame. */
const FRAME_HEADER_BYTES = 4

export interface DeploymentLoad {
  readonly zones: number
  readonly hostsPerZone: number
  readonly enginesPerHost: number
  readonly requestsPerHostPerSecond: number
  readonly changesPerSecond: number
  readonly adapters: number
}

/** Sent bytes and messages per second, and milliseconds of CPU time per second of virtual time. */
export interface ControlPlaneResults {
  readonly meanBytesPerHost: number
  readonly meanMessagesPerHost: number
  readonly meanCpuMsPerHost: number
  readonly holderBytes: number
  readonly holderCpuMs: number
  readonly leaderBytes: number
  readonly leaderCpuMs: number
  /** Mean bytes that a host sends per second, by purpose. */
  readonly grantBytesPerHost: number
  readonly stateBytesPerHost: number
  readonly membershipBytesPerHost: number
  readonly budgetBytesPerHost: number
  readonly settingsBytesPerHost: number
  readonly consensusBytesPerHost: number
  readonly completedPerSecond: number
}

interface Counter {
  bytes: number
  messages: number
  cpuMs: number
}

function buildShape (load: DeploymentLoad): DeploymentShape {
  const zones = Array.from({ length: load.zones }, (_, index) => ({
    zone: `zone-${index}`,
    region: `region-${index}`,
    hosts: load.hostsPerZone,
    engines: load.hostsPerZone * load.enginesPerHost,
    services: 1
  }))
  const voters = load.zones >= 3 ? [0, load.hostsPerZone, load.hostsPerZone * 2] : [0, 1, 2]
  return { zones, voters, slots: 8, batchLimit: 16, loadMs: 250, checksFencing: false, adapters: load.adapters }
}

function submitNodes (cluster: Cluster, changeId: string, changes: readonly NodeChange[]): void {
  cluster.sendOperatorRequest({
    host: cluster.listHostNames()[0] ?? '',
    call: { kind: 'settings.change', changeId, changes, dryRun: false, deadlineMs: DEADLINE_MS },
    onReply: reply => { if (!reply.ok) throw new Error(`settings change was refused: ${reply.failure.message}`) }
  })
}

function createAdapters (cluster: Cluster, count: number): void {
  submitNodes(cluster, 'model', [{ path: 'fleet', expectedRevision: 0, values: UNLIMITED_STORE_SETTINGS }, { path: `models/${MODEL}`, expectedRevision: 0, values: { pool: ENGINE_POOL } }])
  cluster.runFor(SETTLE_MS)
  for (let from = 0; from < count; from += ADAPTERS_PER_CHANGE) {
    const size = Math.min(ADAPTERS_PER_CHANGE, count - from)
    submitNodes(cluster, `adapters-${from}`, Array.from({ length: size }, (_, index) => `models/${MODEL}/adapter-${from + index}`).flatMap(path => [
      { path, expectedRevision: 0, values: { inForce: 'v1' } },
      { path: `${path}/v1`, expectedRevision: 0, values: {} }
    ]))
  }
  cluster.runFor(SETTLE_MS)
}

function runLoad (cluster: Cluster, load: DeploymentLoad, seed: number): void {
  const random = createRandom(seed)
  let requestsDue = 0
  let changesDue = 0
  let changeCount = 0
  for (let at = 0; at < MEASURED_MS; at += STEP_MS) {
    requestsDue += load.requestsPerHostPerSecond * STEP_MS / MS_PER_SECOND
    changesDue += load.changesPerSecond * STEP_MS / MS_PER_SECOND
    while (requestsDue >= 1) {
      requestsDue--
      for (const host of cluster.listHostNames()) {
        const adapter = `adapter-${random.nextInt(0, load.adapters - 1)}`
        const request = cluster.callers.submit({ host, caller: 'load', adapter, version: 'v1', idempotent: true, serviceClass: 'standard', deadlineMs: DEADLINE_MS })
        cluster.hosts.get(host)?.receive({ kind: 'caller.submit', request })
      }
    }
    while (changesDue >= 1) {
      changesDue--
      const path = `models/${MODEL}/adapter-0/w${seed}-${changeCount++}`
      cluster.sendOperatorRequest({
        host: cluster.listHostNames()[1] ?? '',
        call: { kind: 'settings.change', changeId: path, changes: [{ path, expectedRevision: 0, values: {} }], dryRun: false, deadlineMs: DEADLINE_MS },
        onReply: () => {}
      })
    }
    cluster.runFor(STEP_MS)
  }
}

function createCounters (): { readonly get: (host: string) => Counter, readonly clear: () => void } {
  const rows = new Map<string, Counter>()
  return {
    get: host => {
      const known = rows.get(host)
      if (known !== undefined) return known
      const row = { bytes: 0, messages: 0, cpuMs: 0 }
      rows.set(host, row)
      return row
    },
    clear: () => { rows.clear() }
  }
}

/** Runs one deployment and returns its results per second of virtual time. */
export function measureControlPlane (opts: { seed: number, load: DeploymentLoad }): ControlPlaneResults {
  const { seed, load } = opts
  const counters = createCounters()
  const bytesByKind = new Map<string, number>()
  const timeRun = (host: string, run: () => HostOutput[]): HostOutput[] => {
    const startedAt = performance.now()
    const outputs = run()
    counters.get(host).cpuMs += performance.now() - startedAt
    return outputs
  }
  const cluster = createCluster({ seed, shape: buildShape(load), timeRun })
  cluster.setOnOutput((host, output) => {
    if (output.kind !== 'peer.send') return
    const row = counters.get(host)
    row.messages++
    const bytes = encodeMessage(output.message).length + FRAME_HEADER_BYTES
    row.bytes += bytes
    bytesByKind.set(output.message.kind, (bytesByKind.get(output.message.kind) ?? 0) + bytes)
  })
  cluster.runFor(SETTLE_MS)
  createAdapters(cluster, load.adapters)
  runLoad(cluster, load, seed)
  counters.clear()
  bytesByKind.clear()
  const completedBefore = cluster.oracle.countCompleted()
  runLoad(cluster, load, seed + 1)
  const seconds = MEASURED_MS / MS_PER_SECOND
  const names = cluster.listHostNames()
  const mean = (key: keyof Counter): number => names.reduce((sum, host) => sum + counters.get(host)[key], 0) / names.length / seconds
  const getKindBytes = (prefix: string): number => [...bytesByKind].filter(([kind]) => kind.startsWith(prefix)).reduce((sum, [, bytes]) => sum + bytes, 0) / names.length / seconds
  const [holder = '', leader = ''] = findRoles(cluster)
  return {
    meanBytesPerHost: mean('bytes'),
    meanMessagesPerHost: mean('messages'),
    meanCpuMsPerHost: mean('cpuMs'),
    holderBytes: counters.get(holder).bytes / seconds,
    holderCpuMs: counters.get(holder).cpuMs / seconds,
    leaderBytes: counters.get(leader).bytes / seconds,
    leaderCpuMs: counters.get(leader).cpuMs / seconds,
    grantBytesPerHost: getKindBytes('grant.'),
    stateBytesPerHost: getKindBytes('member.endpoints'),
    membershipBytesPerHost: getKindBytes('member.') + getKindBytes('lease.') + getKindBytes('owner.') - getKindBytes('member.endpoints'),
    budgetBytesPerHost: getKindBytes('budget.'),
    settingsBytesPerHost: getKindBytes('settings.'),
    consensusBytesPerHost: getKindBytes('consensus.') + getKindBytes('command.'),
    completedPerSecond: (cluster.oracle.countCompleted() - completedBefore) / seconds
  }
}

/** Finds the lease holder of the first zone and the leader of the voters. */
function findRoles (cluster: Cluster): [string | undefined, string | undefined] {
  let holder: string | undefined
  let leader: string | undefined
  for (const host of cluster.listHostNames()) {
    cluster.sendOperatorRequest({
      host,
      call: { kind: 'status' },
      onReply: reply => {
        if (!reply.ok) return
        const body = reply.body as { leaseHolder?: string, voter?: { role?: string } }
        holder ??= body.leaseHolder
        if (body.voter?.role === 'leader') leader = host
      }
    })
  }
  cluster.runFor(STEP_MS)
  return [holder, leader]
}
