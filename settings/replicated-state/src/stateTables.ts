/** The tables of the replicated state, and their age and size limits, which are read from the replicated settings. */
import type { EndpointId, WallMs } from '@catkinferry/core.types'
import { createClaimsTable } from '@catkinferry/ledger.claims'
import type { ClaimLimits, ClaimsTable } from '@catkinferry/ledger.claims'
import type { SettingsTree } from '@catkinferry/settings.tree'
import { createAuditTrail } from './auditTrail.ts'
import type { AuditTrail } from './auditTrail.ts'
import { createAnnouncedVersions } from './announcedVersions.ts'
import type { AnnouncedVersions } from './announcedVersions.ts'
import { createChangeAnswers } from './changeAnswers.ts'
import type { ChangeAnswers } from './changeAnswers.ts'
import { createQuarantinedParts } from './quarantinedParts.ts'
import type { QuarantinedParts } from './quarantinedParts.ts'
import { createRouteVersions } from './routeVersions.ts'
import type { RouteVersions } from './routeVersions.ts'
import { createServiceVersions } from './serviceVersions.ts'
import type { ServiceVersions } from './serviceVersions.ts'

export interface StateTables {
  readonly tree: SettingsTree
  readonly audit: AuditTrail
  readonly answers: ChangeAnswers
  readonly claims: ClaimsTable
  /** Whether each endpoint refuses orders with an outdated fencing token. */
  readonly endpointFacts: Map<EndpointId, boolean>
  readonly routes: RouteVersions
  readonly announced: AnnouncedVersions
  readonly quarantined: QuarantinedParts
  readonly serviceVersions: ServiceVersions
  /** Highest time seen in the log. It does not go back when a leader with a slower clock takes over. */
  readonly clock: { now: WallMs }
}

/** Creates empty tables around a tree. */
export function createStateTables (tree: SettingsTree): StateTables {
  return {
    tree,
    audit: createAuditTrail(),
    answers: createChangeAnswers(),
    claims: createClaimsTable(),
    endpointFacts: new Map(),
    routes: createRouteVersions(),
    announced: createAnnouncedVersions(),
    quarantined: createQuarantinedParts(),
    serviceVersions: createServiceVersions(),
    clock: { now: 0 }
  }
}

function readNumber (tree: SettingsTree, key: string): number {
  return tree.getValue('fleet', key) as number
}

/** Reads the limits of the claims table from the current settings. */
export function readClaimLimits (tree: SettingsTree): ClaimLimits {
  return {
    retentionMs: readNumber(tree, 'ledger.retentionMs'),
    keptAnswerBytes: readNumber(tree, 'ledger.keptAnswerBytes'),
    openLimitMs: readNumber(tree, 'ledger.openLimitMs')
  }
}

/** Drops everything beyond its age and size limits, oldest first. */
export function expireTables (tables: StateTables): void {
  const { tree, audit, answers, claims, serviceVersions, clock } = tables
  claims.expire(clock.now, readClaimLimits(tree))
  audit.expire(clock.now, { retentionMs: readNumber(tree, 'audit.retentionMs'), keptBytes: readNumber(tree, 'audit.keptBytes') })
  answers.expire(clock.now, { retentionMs: readNumber(tree, 'changes.retentionMs'), keptCount: readNumber(tree, 'changes.keptCount') })
  serviceVersions.expire(clock.now)
}
