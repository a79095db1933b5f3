/** Findings: entries of a valid route table that an operator probably did not intend. */
import type { ConfigProblem } from '@catkinferry/core.types'

export const FindingGroup = { UNUSED: 'unused', CONTRADICTION: 'contradiction' } as const
export type FindingGroup = typeof FindingGroup[keyof typeof FindingGroup]

/** Stable: scripts of operators may rely on the codes. */
export const FindingCode = {
  HOST_NEVER_MATCHES: 'host-never-matches',
  PATH_NEVER_MATCHES: 'path-never-matches',
  SHARE_WITHOUT_WEIGHT: 'share-without-weight',
  SERVICE_CANNOT_SERVE: 'service-cannot-serve',
  SERVICE_WITHOUT_ROUTE: 'service-without-route',
  ACCOUNT_WITHOUT_KEY: 'account-without-key',
  NO_KEY_ACCEPTED: 'no-key-accepted',
  KEYS_WITHOUT_EFFECT: 'keys-without-effect',
  PUBLIC_WITHOUT_EFFECT: 'public-without-effect',
  OBJECTIVE_ABOVE_TIMEOUT: 'objective-above-timeout',
  PAUSE_ABOVE_TIMEOUT: 'pause-above-timeout',
  ATTEMPTS_WITHOUT_REPEAT: 'attempts-without-repeat',
  BURST_BELOW_REQUEST: 'burst-below-request',
  QUOTA_ABOVE_CAPACITY: 'quota-above-capacity',
  MODEL_ABOVE_MEMORY: 'model-above-memory',
  ADAPTERS_ABOVE_MEMORY: 'adapters-above-memory',
  PRIORITIES_WITHOUT_EFFECT: 'priorities-without-effect',
  ROUTE_PRIORITIES_REPLACED: 'route-priorities-replaced'
} as const
export type FindingCode = typeof FindingCode[keyof typeof FindingCode]

export interface Finding {
  readonly code: FindingCode
  readonly group: FindingGroup
  /** In the route table. */
  readonly path: ConfigProblem['path']
  /** Quotes names, but none that contains a key. */
  readonly text: string
  readonly hint: string
}

export type FindingSource = Omit<Finding, 'hint' | 'group'>
