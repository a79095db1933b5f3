/** What a relay is created with. */
import type { Clock } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, RegionId, ZoneId } from '@catkinferry/core.types'
import type { Directory } from '@catkinferry/fleet.directory'
import type { RelayDialect } from './dialect.ts'
import type { RetryBudget } from './retryAllowance.ts'

export interface RelayPlace {
  readonly zone: ZoneId
  readonly region: RegionId
}

/** Takes counts and times; names are those of the metrics page. */
export interface RelayObserver {
  readonly count: (name: string, labels?: Readonly<Record<string, string>>) => void
  readonly time: (name: string, valueMs: number, labels?: Readonly<Record<string, string>>) => void
}

export interface RelayOptions {
  readonly place: RelayPlace
  readonly dialect: RelayDialect
  readonly directory: Pick<Directory, 'getRoutes' | 'listEndpoints' | 'getEndpoint' | 'getAnnounced' | 'askLoad' | 'askCopy' | 'getOthersLoad' | 'noteBegun' | 'noteEnded' | 'dropResident' | 'noteFailed' | 'setSilent'>
  readonly clock: Clock
  readonly random: Random
  readonly logger: Logger
  readonly observer: RelayObserver
  /** Resolves once routes and endpoints are known here, or after the time given. */
  readonly waitUntilKnown: (maxMs: DurationMs) => Promise<void>
  /** Entry hosts that share connections and the retry budget. */
  readonly getEntryCount: () => number
  /** Sends beyond the first that the whole fleet may make. */
  readonly retryBudget: RetryBudget
  /** IP that connections to endpoints are opened from. */
  readonly localIp?: string
}
