/** Options of `createRelay`, passed in by the entry host. */
import type { Clock, LoopWatch } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, RegionId, ZoneId } from '@catkinferry/core.types'
import type { Directory } from '@catkinferry/fleet.directory'
import type { RelayPeer } from '@catkinferry/wire.messages'
import type { AccountGate } from './accountGate.ts'
import type { RelayDialect } from './dialect.ts'
import type { RetryBudget } from './retryAllowance.ts'

export interface RelayLocation {
  readonly zone: ZoneId
  readonly region: RegionId
}

/** What the bytes belong to that the relay holds for others. */
export const HeldUse = { RESPONSES: 'responses', CALLERS: 'callers', EVENT_IDS: 'eventIds' } as const
export type HeldUse = typeof HeldUse[keyof typeof HeldUse]

/** Records metrics; names are those of the metrics page. */
export interface RelayObserver {
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  readonly time: (name: string, valueMs: number, labels?: Readonly<Record<string, string>>) => void
}

export interface RelayOptions {
  readonly location: RelayLocation
  readonly dialect: RelayDialect
  readonly directory: Pick<Directory, 'getRoutes' | 'listEndpoints' | 'getEndpoint' | 'getEndpointCount' | 'getAnnounced' | 'requestLoad' | 'requestReplica' | 'getOthersLoad' | 'recordBegun' | 'recordEnded' | 'recordUnused' | 'dropResident' | 'recordFailed' | 'setSilent' | 'setUnreachable' | 'recordLeaving' | 'recordLimit' | 'recordBroken' | 'recordUnreachable' | 'recordSound' | 'findQuarantined' | 'recordOrigin' | 'getOrigin' | 'askOrigin' | 'getVersionHistory'>
  readonly clock: Clock
  readonly loop: LoopWatch
  readonly random: Random
  readonly logger: Logger
  readonly observer: RelayObserver
  /** Resolves once this host has received routes and endpoints, or after `maxMs`. */
  readonly waitUntilReady: (maxMs: DurationMs) => Promise<void>
  /** Number of entry hosts among which connections and the retry budget are divided. */
  readonly getEntryCount: () => number
  /** Entry hosts that may serve requests for which this one reaches no endpoint. */
  readonly listPeers: () => readonly RelayPeer[]
  /** Retries allowed to all entry hosts together. */
  readonly retryBudget: RetryBudget
  /** Absent on hosts that admit every request of a known account. */
  readonly accounts?: AccountGate
  /** Local address of connections to endpoints. */
  readonly localIp?: string
}
