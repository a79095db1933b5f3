/**
 * Which software versions each service runs in, and lately ran in. The leader reads them from the platform's list and has them
 * recorded in the log before it publishes an endpoint of a new version, so that every stream began at a version that the log
 * holds. Any core host tells entry hosts at which versions a stream can have begun.
 */
import type { DurationMs, HostId, ListedEndpoint, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { RECORDED_VERSION_RETENTION_MS } from '@catkinferry/settings.replicated-state'
import type { ServiceVersion, ServiceVersions } from '@catkinferry/settings.replicated-state'
import { COMMAND_SETS, UNREPORTED_VERSION } from '@catkinferry/wire.messages'
import type { Command } from '@catkinferry/wire.messages'
import { CommandSupport, createCommandSets } from './commandSets.ts'
import type { CommandSetsOptions } from './commandSets.ts'

const COMMAND_SET = COMMAND_SETS['service.versions']
/** No service has this name: its record begins with the first one of the log. */
const NO_POOL = ''
/** A version that is missing in the list for less counts as in service: an entry that cannot be read once, or an engine that restarts, is no departure. */
const DEPARTURE_DELAY_MS = 2_000
/** A proposal that has not been committed after this is made again. */
const PROPOSAL_TIMEOUT_MS = 1_500
/** An endpoint of a version that is not recorded is published after this at the latest: a log that accepts nothing must not keep it from callers. */
const MAX_HOLD_MS = 1_000
/** By how much the clocks of core hosts may differ. Within it, a version that has left still counts. */
const CLOCK_TOLERANCE_MS = 10_000
/** The leader forgets a version that left longer ago, before the log does: it would take it for one that was never recorded. */
const LEADER_HISTORY_MS = RECORDED_VERSION_RETENTION_MS / 2

type VersionTable = Pick<ServiceVersions, 'list' | 'listPools' | 'getKnownSince'>
type VersionsCommand = Extract<Command, { kind: 'service.versions' }>

export interface VersionRecordOptions extends CommandSetsOptions {
  /** Undefined unless this host leads. */
  readonly getLeaderTerm: () => number | undefined
  /** Whether a majority of the voters has answered this leader so recently that no other can have been elected. */
  readonly hasRecentQuorum: (now: MonotonicMs) => boolean
  /** Whether this host leads, or lately held everything that was committed. */
  readonly isInContact: () => boolean
  readonly getTable: () => VersionTable
  /** `onSettled` is called once the command was applied, or after the timeout. */
  readonly propose: (command: VersionsCommand, timeoutMs: DurationMs, onSettled: () => void, context: RunContext) => void
}

export interface VersionRecord {
  /** Records what a core host says in its hello; undefined from releases that do not say it. */
  readonly receiveCommandSet: (from: HostId, commandSet: number | undefined) => void
  /** Whether a core host can apply all commands that the log may hold. */
  readonly canJoin: (host: HostId) => boolean
  /** Records the platform's list as the leader has read it. */
  readonly receiveList: (listed: readonly ListedEndpoint[], now: MonotonicMs) => void
  /** Whether an endpoint of this version may be published. */
  readonly isPublishable: (pool: string, softwareVersion: string | undefined, now: MonotonicMs) => boolean
  /** The versions that were in service within `maxAgeMs`; undefined if this host cannot tell. */
  readonly findVersions: (pool: string, maxAgeMs: DurationMs, context: Pick<RunContext, 'now' | 'wallNow'>) => readonly string[] | undefined
  /** Whether this host leads, and a majority has answered it so recently that no other can have been elected. */
  readonly isLeading: (now: MonotonicMs) => boolean
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
}

/** What the leader has read in its term. */
interface LeaderHistory {
  readonly term: number
  readonly firstListAt: MonotonicMs
  /** When each version was last in the list, by service. */
  readonly seenAt: Map<string, Map<string, MonotonicMs>>
}

const isInService = ({ leftAt }: ServiceVersion): boolean => leftAt === undefined

/** The versions in service within `maxAgeMs` by the log and the history of the leader; undefined if neither reaches so far back. */
function listVersions (opts: { readonly table: VersionTable, readonly history: LeaderHistory | undefined, readonly pool: string, readonly maxAgeMs: DurationMs, readonly context: Pick<RunContext, 'now' | 'wallNow'> }): readonly string[] | undefined {
  const { table, history, pool, maxAgeMs, context: { now, wallNow } } = opts
  if (maxAgeMs > LEADER_HISTORY_MS - CLOCK_TOLERANCE_MS) return undefined
  const knownSince = table.getKnownSince(pool)
  const isLate = (at: number): boolean => wallNow - at <= maxAgeMs + CLOCK_TOLERANCE_MS
  const isRecordComplete = knownSince !== undefined && (knownSince === 0 || !isLate(knownSince))
  const isHistoryComplete = history !== undefined && now - history.firstListAt > maxAgeMs
  if (!isRecordComplete && !isHistoryComplete) return undefined
  const recorded = table.list(pool).filter(({ leftAt }) => leftAt === undefined || isLate(leftAt)).map(({ softwareVersion }) => softwareVersion)
  const seen = [...history?.seenAt.get(pool) ?? []].filter(([, at]) => now - at <= maxAgeMs + DEPARTURE_DELAY_MS).map(([version]) => version)
  return [...new Set([...recorded, ...seen])].sort()
}

/** Creates the record of one core host; it proposes only while the host leads. */
export function createVersionRecord (opts: VersionRecordOptions): VersionRecord {
  const commandSets = createCommandSets(opts)
  const findSupport = (): CommandSupport => commandSets.findSupport(COMMAND_SET)
  /** Services whose versions are being proposed, and in which term. */
  const proposing = new Map<string, number>()
  /** Since when endpoints of a version are held back. */
  const heldSince = new Map<string, MonotonicMs>()
  let history: LeaderHistory | undefined
  let nextAt: MonotonicMs = Infinity

  const getHistory = (): LeaderHistory | undefined => history !== undefined && history.term === opts.getLeaderTerm() ? history : undefined

  function hasReportedVersions (pool: string): boolean {
    const seen = getHistory()?.seenAt.get(pool)
    return [...seen?.keys() ?? []].some(version => version !== UNREPORTED_VERSION) || opts.getTable().list(pool).length > 0
  }

  /** Versions that are to be recorded as in service: also those that have left again before they were recorded at all. */
  function listWanted (pool: string, { seenAt }: LeaderHistory, now: MonotonicMs): string[] {
    const recorded = new Set(opts.getTable().list(pool).map(({ softwareVersion }) => softwareVersion))
    const seen = [...seenAt.get(pool) ?? []]
    return seen.filter(([version, at]) => now - at <= DEPARTURE_DELAY_MS || !recorded.has(version)).map(([version]) => version).sort()
  }

  function proposePool (pool: string, versions: readonly string[], term: number, context: RunContext): void {
    proposing.set(pool, term)
    context.emit({ kind: 'log', level: 'info', message: 'software versions of a service changed', fields: { step: 'serviceVersions', pool, versions, term } })
    opts.propose({ kind: 'service.versions', pool, versions }, PROPOSAL_TIMEOUT_MS, () => { if (proposing.get(pool) === term) proposing.delete(pool) }, context)
  }

  function run (context: RunContext): void {
    const known = getHistory()
    const { now } = context
    if (known === undefined) nextAt = Infinity
    if (known === undefined || now < nextAt) return
    nextAt = [...heldSince.values()].map(since => since + MAX_HOLD_MS).filter(at => at > now).reduce((least, at) => Math.min(least, at), Infinity)
    const table = opts.getTable()
    const isSupported = findSupport() === CommandSupport.SUPPORTED
    for (const pool of new Set([...known.seenAt.keys(), ...table.listPools()])) {
      if (!isSupported || !hasReportedVersions(pool) || proposing.get(pool) === known.term) continue
      // A new leader waits as long as its predecessor before it takes a version for gone.
      const isSettled = now - known.firstListAt >= DEPARTURE_DELAY_MS
      const recorded = table.list(pool).filter(isInService).map(({ softwareVersion }) => softwareVersion)
      const wanted = listWanted(pool, known, now)
      const next = isSettled ? wanted : [...new Set([...wanted, ...recorded])].sort()
      if (next.join('\n') !== recorded.sort().join('\n')) proposePool(pool, next, known.term, context)
    }
  }

  function isPublishable (pool: string, softwareVersion: string | undefined, now: MonotonicMs): boolean {
    const version = softwareVersion ?? UNREPORTED_VERSION
    const key = `${pool}\n${version}`
    const isRecorded = opts.getTable().list(pool).some(row => row.softwareVersion === version && isInService(row))
    if (isRecorded || !hasReportedVersions(pool) || findSupport() === CommandSupport.UNSUPPORTED) {
      heldSince.delete(key)
      return true
    }
    const since = heldSince.get(key) ?? now
    heldSince.set(key, since)
    if (since === now) nextAt = Math.min(nextAt, now + MAX_HOLD_MS)
    return now - since >= MAX_HOLD_MS
  }

  const isLeading = (now: MonotonicMs): boolean => opts.getLeaderTerm() !== undefined && opts.hasRecentQuorum(now)

  return {
    receiveCommandSet: commandSets.receive,
    canJoin: host => opts.listMembers().includes(host) || opts.getTable().getKnownSince(NO_POOL) === undefined || commandSets.canApply(host, COMMAND_SET),
    receiveList: (listed, now) => {
      const term = opts.getLeaderTerm()
      if (term === undefined) return
      const known = getHistory() ?? { term, firstListAt: now, seenAt: new Map<string, Map<string, MonotonicMs>>() }
      if (known !== history) heldSince.clear()
      history = known
      for (const seen of known.seenAt.values()) for (const [version, at] of seen) if (now - at > LEADER_HISTORY_MS) seen.delete(version)
      for (const { pool, softwareVersion = UNREPORTED_VERSION } of listed) {
        const seen = known.seenAt.get(pool) ?? new Map<string, MonotonicMs>()
        known.seenAt.set(pool, seen.set(softwareVersion, now))
      }
      nextAt = Number.NEGATIVE_INFINITY
    },
    isPublishable,
    findVersions: (pool, maxAgeMs, context) => {
      const leads = isLeading(context.now)
      // While it is not certain that all voters can apply the record, new versions may be known to the leader alone.
      if (!leads && (!opts.isInContact() || findSupport() !== CommandSupport.SUPPORTED)) return undefined
      return listVersions({ table: opts.getTable(), history: leads ? getHistory() : undefined, pool, maxAgeMs, context })
    },
    isLeading,
    run,
    getNextAt: () => nextAt
  }
}
