/** The tables that the replicated state consists of, and the bounds that its own settings give them. */
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
import { createRouteVersions } from './routeVersions.ts'
import type { RouteVersions } from './routeVersions.ts'

export interface StateTables {
  readonly tree: SettingsTree
  readonly audit: AuditTrail
  readonly answers: ChangeAnswers
  readonly claims: ClaimsTable
  /** Whether an endpoint refuses orders with an old fencing number. */
  readonly endpointFacts: Map<EndpointId, boolean>
  readonly routes: RouteVersions
  readonly announced: AnnouncedVersions
  /** Highest time seen in the log: never goes back when the lead moves to a slower clock. */
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
    clock: { now: 0 }
  }
}

function readNumber (tree: SettingsTree, key: string): number {
  return tree.getValue('fleet', key) as number
}

/** Bounds of the claims, as the settings have them now. */
export function readClaimLimits (tree: SettingsTree): ClaimLimits {
  return {
    retentionMs: readNumber(tree, 'ledger.retentionMs'),
    keptAnswerBytes: readNumber(tree, 'ledger.keptAnswerBytes'),
    openLimitMs: readNumber(tree, 'ledger.openLimitMs')
  }
}

/** Drops everything past its bounds, oldest first. */
export function expireTables (tables: StateTables): void {
  const { tree, audit, answers, claims, clock } = tables
  claims.expire(clock.now, readClaimLimits(tree))
  audit.expire(clock.now, { retentionMs: readNumber(tree, 'audit.retentionMs'), keptBytes: readNumber(tree, 'audit.keptBytes') })
  answers.expire(clock.now, { retentionMs: readNumber(tree, 'changes.retentionMs'), keptCount: readNumber(tree, 'changes.keptCount') })
}
