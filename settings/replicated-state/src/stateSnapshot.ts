/** Encodes and decodes snapshots of the replicated state: a format version, then plain arrays in an order that depends only on the commands applied. */
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { SavedClaims } from '@catkinferry/ledger.claims'
import { createSettingsTree } from '@catkinferry/settings.tree'
import type { SavedTree } from '@catkinferry/settings.tree'
import { Encoder } from 'cbor-x'
import type { AnnouncedVersion } from '@catkinferry/core.types'
import type { SavedAudit } from './auditTrail.ts'
import type { SavedAnswers } from './changeAnswers.ts'
import type { SavedQuarantine } from './quarantinedParts.ts'
import type { StoredRoutes } from './routeVersions.ts'
import type { SavedServiceVersions } from './serviceVersions.ts'
import { createStateTables } from './stateTables.ts'
import type { StateTables } from './stateTables.ts'

/** Version of the snapshot format. */
export const SNAPSHOT_FORMAT = 2

/** The format without routes and announced versions; it can still be decoded. */
const FORMAT_BEFORE_ROUTES = 1

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, structuredClone: false, tagUint8Array: false })

interface SavedState {
  readonly format: number
  readonly now: number
  readonly tree: SavedTree
  readonly audit: SavedAudit
  readonly answers: SavedAnswers
  readonly claims: SavedClaims
  readonly endpointFacts: readonly (readonly [string, boolean])[]
  readonly routes?: StoredRoutes
  readonly announced?: readonly AnnouncedVersion[]
  /** Snapshots of releases without quarantine have none. */
  readonly quarantined?: SavedQuarantine
  /** Snapshots of releases without command set 2 have none; such releases ignore it. */
  readonly serviceVersions?: SavedServiceVersions
}

/** Encodes the whole state. */
export function encodeSnapshot (tables: StateTables): Uint8Array {
  const state: SavedState = {
    format: SNAPSHOT_FORMAT,
    now: tables.clock.now,
    tree: tables.tree.save(),
    audit: tables.audit.save(),
    answers: tables.answers.save(),
    claims: tables.claims.save(),
    endpointFacts: [...tables.endpointFacts],
    routes: tables.routes.get(),
    announced: tables.announced.listAfter(0),
    quarantined: tables.quarantined.save(),
    serviceVersions: tables.serviceVersions.save()
  }
  return encoder.encode(state)
}

/** Decodes a snapshot; throws `DAMAGED_FILE` on an unknown format. */
export function decodeSnapshot (data: Uint8Array): StateTables {
  const state = encoder.decode(data) as SavedState
  if (state.format !== SNAPSHOT_FORMAT && state.format !== FORMAT_BEFORE_ROUTES) {
    throw new CatkinferryError({ code: ErrorCode.DAMAGED_FILE, message: `unsupported snapshot format ${String(state.format)}; this release writes format ${SNAPSHOT_FORMAT}`, step: 'snapshot.restore', hint: 'run a release that supports this format' })
  }
  const tables = createStateTables(createSettingsTree(state.tree))
  tables.audit.load(state.audit)
  tables.answers.load(state.answers)
  tables.claims.load(state.claims)
  for (const [endpoint, checksFencing] of state.endpointFacts) tables.endpointFacts.set(endpoint, checksFencing)
  if (state.routes !== undefined && state.routes !== null) tables.routes.load(state.routes)
  tables.announced.load(state.announced ?? [])
  if (state.quarantined !== undefined) tables.quarantined.load(state.quarantined)
  if (state.serviceVersions !== undefined) tables.serviceVersions.load(state.serviceVersions)
  // When the first route table of such a snapshot took effect is not known; streams may have begun long before.
  else if (tables.routes.get() !== undefined) tables.serviceVersions.recordServing(0)
  tables.clock.now = state.now
  return tables
}
