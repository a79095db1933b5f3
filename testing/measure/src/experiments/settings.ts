/** Experiment: commit and dissemination of settings over real TCP and files, with 8 hosts in one process, 3 of them voters. */
import type { HostId, PeerRow } from '@catkinferry/core.types'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import type { Experiment, ExperimentOptions, ExperimentResults } from '../experiment.ts'
import { openLiveHost } from '../settings/liveHost.ts'
import type { LiveHost } from '../settings/liveHost.ts'

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const HOSTS = 8
const CHANGES_PER_SECOND = 50
const DEFAULT_SECONDS = 20
const START_LIMIT_MS = 20_000
const SETTLE_LIMIT_MS = 10_000
const POLL_MS = 10
const DEADLINE_MS = 10_000

/** The first host of each zone is a voter. */
const PEERS: readonly PeerRow[] = Array.from({ length: HOSTS }, (_, index) => ({
  host: `host-${index}`,
  zone: ZONES[index % ZONES.length]!,
  region: index % ZONES.length === 2 ? 'region-south' : 'region-north',
  address: '',
  voter: index < ZONES.length,
  leaseVoter: true
}))

/** Times are milliseconds of `performance.now()`. */
interface AcceptedChange {
  readonly revision: number
  readonly acceptedAt: number
  readonly commitMs: number
}

interface Cluster {
  readonly hosts: readonly LiveHost[]
  /** Time at which a host first had a revision in force, by host and revision. */
  readonly reachedAt: ReadonlyMap<HostId, ReadonlyMap<number, number>>
  /** Durations of the disk requests of all voters. */
  readonly diskRequestMs: number[]
}

async function openCluster (folder: string, seed: number): Promise<Cluster> {
  const reachedAt = new Map<HostId, Map<number, number>>(PEERS.map(({ host }) => [host, new Map()]))
  const lastRevision = new Map<HostId, number>()
  const onRevision = (host: HostId, revision: number): void => {
    const now = performance.now()
    for (let reached = (lastRevision.get(host) ?? 0) + 1; reached <= revision; reached++) reachedAt.get(host)!.set(reached, now)
    lastRevision.set(host, revision)
  }
  const hosts: LiveHost[] = []
  const diskRequestMs: number[] = []
  const onDiskRequestDone = (tookMs: number): void => { diskRequestMs.push(tookMs) }
  for (const [index, self] of PEERS.entries()) {
    hosts.push(await openLiveHost({ self, peers: PEERS, seed: seed + index, onRevision, onDiskRequestDone, ...(self.voter ? { folder: join(folder, self.host) } : {}) }))
  }
  const addresses = hosts.map(({ host, port }) => ({ host, address: `127.0.0.1:${port}` }))
  for (const host of hosts) {
    host.connect(addresses)
    host.start()
  }
  return { hosts, reachedAt, diskRequestMs }
}

async function submitChange (host: LiveHost, index: number): Promise<AcceptedChange | undefined> {
  const startedAt = performance.now()
  const reply = await host.request({
    kind: 'settings.change',
    changeId: `change-${index}`,
    changes: [{ path: `fleet/region-${index}`, expectedRevision: 0, values: { 'queue.limit': 1 + index % 1_000 } }],
    dryRun: false,
    deadlineMs: DEADLINE_MS
  })
  if (!reply.ok) return undefined
  const acceptedAt = performance.now()
  return { revision: (reply.body as { revision: number }).revision, acceptedAt, commitMs: acceptedAt - startedAt }
}

async function waitFor (isMet: () => boolean, limitMs: number): Promise<boolean> {
  const end = performance.now() + limitMs
  while (!isMet() && performance.now() < end) await wait(POLL_MS)
  return isMet()
}

/** Submits changes until one is in force on every host: the first must wait for the leader election and the peer links. */
async function warmUp ({ hosts }: Cluster): Promise<number> {
  const startedAt = performance.now()
  for (let index = 0; performance.now() - startedAt < START_LIMIT_MS; index++) {
    const accepted = await submitChange(hosts[0]!, 1_000_000 + index)
    if (accepted !== undefined && await waitFor(() => hosts.every(host => host.getRevision() >= accepted.revision), START_LIMIT_MS)) return performance.now() - startedAt
  }
  throw new Error('no change came into force on every host within the start-up limit')
}

async function submitAll ({ hosts }: Cluster, count: number): Promise<AcceptedChange[]> {
  const pending: Promise<AcceptedChange | undefined>[] = []
  const startedAt = performance.now()
  for (let index = 0; index < count; index++) {
    await wait(Math.max(0, startedAt + index * 1_000 / CHANGES_PER_SECOND - performance.now()))
    pending.push(submitChange(hosts[index % hosts.length]!, index))
  }
  return (await Promise.all(pending)).filter(accepted => accepted !== undefined)
}

function computeInForceMs ({ reachedAt }: Cluster, { revision, acceptedAt }: AcceptedChange): number {
  const reached = [...reachedAt.values()].map(times => times.get(revision) ?? Infinity)
  return Math.max(0, Math.max(...reached) - acceptedAt)
}

function findPercentile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return roundToTenth(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN)
}

function roundToTenth (value: number): number {
  return Math.round(value * 10) / 10
}

async function measureCluster (cluster: Cluster, seconds: number): Promise<ExperimentResults> {
  const firstChangeMs = await warmUp(cluster)
  const submitted = seconds * CHANGES_PER_SECOND
  const accepted = await submitAll(cluster, submitted)
  const highest = Math.max(...accepted.map(({ revision }) => revision))
  const settled = await waitFor(() => cluster.hosts.every(host => host.getRevision() >= highest), SETTLE_LIMIT_MS)
  const commitMs = accepted.map(row => row.commitMs)
  const inForceMs = accepted.map(row => computeInForceMs(cluster, row))
  return {
    voters: ZONES.length,
    hosts: HOSTS,
    changesPerSecond: CHANGES_PER_SECOND,
    submitted,
    accepted: accepted.length,
    settled,
    firstChangeMs: roundToTenth(firstChangeMs),
    commitMsP50: findPercentile(commitMs, 0.5),
    commitMsP99: findPercentile(commitMs, 0.99),
    commitMsMax: findPercentile(commitMs, 1),
    diskMsP50: findPercentile(cluster.diskRequestMs, 0.5),
    diskMsP99: findPercentile(cluster.diskRequestMs, 0.99),
    diskMsMax: findPercentile(cluster.diskRequestMs, 1),
    inForceMsP50: findPercentile(inForceMs, 0.5),
    inForceMsMax: findPercentile(inForceMs, 1)
  }
}

async function run (opts: ExperimentOptions): Promise<ExperimentResults> {
  const folder = await mkdtemp(join(tmpdir(), 'catkinferry-settings-'))
  const cluster = await openCluster(folder, opts.seed)
  try {
    return await measureCluster(cluster, Number(opts.flags.seconds ?? DEFAULT_SECONDS))
  } finally {
    for (const host of cluster.hosts) await host.close()
    await rm(folder, { recursive: true, force: true })
  }
}

/** `commitMs` runs from the operator's request at a host to its reply; `inForceMs` from that reply until the revision is in force on the last host. */
export const settings: Experiment = {
  name: 'settings',
  description: 'commit and dissemination of settings: 3 voters, 8 hosts, real TCP and files (--seconds N)',
  targets: [
    { key: 'commitMsP99', bound: 'atMost', value: 50, unit: 'ms' },
    { key: 'inForceMsMax', bound: 'atMost', value: 1_000, unit: 'ms' }
  ],
  run
}
