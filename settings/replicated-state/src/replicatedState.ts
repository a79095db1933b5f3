/**
 * The replicated state machine: settings, adapter and route versions, audit trail, change ids, claims, endpoint facts.
 * Each voter applies the committed commands of the consensus log to its own copy.
 */
import type { AdapterName, AnnouncedVersion, ModelId, WallMs } from '@catkinferry/core.types'
import { createSettingsTree, describeNode } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { Command, CommandOutcome, NodeDelta, Query, RevisionDelta, StateMachine } from '@catkinferry/wire.messages'
import { checkCommand } from './checkCommand.ts'
import { unpackRoutes } from './packedRoutes.ts'
import { applyRefusedChange, applyResolveClaim, applySettingsChange } from './applyChange.ts'
import type { QuarantinedPart } from './quarantinedParts.ts'
import type { StoredRoutes } from './routeVersions.ts'
import type { ServiceVersions } from './serviceVersions.ts'
import { decodeSnapshot, encodeSnapshot } from './stateSnapshot.ts'
import { createStateTables, expireTables, readClaimLimits } from './stateTables.ts'
import type { StateTables } from './stateTables.ts'

/** Maximum number of claims or audit entries in one answer. */
const MAX_PAGE = 1_000

/** The state that a voter builds from the replicated log. */
export interface ReplicatedState extends StateMachine {
  readonly getRevision: () => number
  /** The settings tree; a new object after a snapshot was restored. */
  readonly getTree: () => SettingsTree
  /** Contiguous deltas after a revision; undefined if some are no longer kept. */
  readonly listDeltasAfter: (revision: number) => RevisionDelta[] | undefined
  readonly listNodes: () => IterableIterator<NodeDelta>
  /** The highest route version that was applied. */
  readonly getRoutes: () => StoredRoutes | undefined
  /** Newest versions of the adapters announced after a sequence, oldest first. */
  readonly listAnnouncedAfter: (sequence: number) => readonly AnnouncedVersion[]
  readonly getAnnouncedSequence: () => number
  /** Undefined for an adapter of which no version was announced. */
  readonly getAnnouncedVersion: (model: ModelId, adapter: AdapterName) => number | undefined
  /** Prompt parts and whole requests that are refused. */
  readonly listQuarantined: () => readonly QuarantinedPart[]
  readonly getQuarantineRevision: () => number
  /** Software versions in which services run, and lately ran. */
  readonly getServiceVersions: () => Pick<ServiceVersions, 'list' | 'listPools' | 'getKnownSince'>
  /** Registers a listener that is called after each accepted change, but not for changes that a snapshot contains. */
  readonly onRevision: (listener: (delta: RevisionDelta) => void) => void
}

type Handler<Kind extends Command['kind']> = (tables: StateTables, command: Extract<Command, { kind: Kind }>, onDelta: (delta: RevisionDelta) => void) => CommandOutcome

function replaceRoutes ({ routes, serviceVersions, clock }: StateTables, stored: StoredRoutes): CommandOutcome {
  serviceVersions.recordServing(clock.now)
  return routes.replace(stored)
}

const handlers: { readonly [Kind in Command['kind']]: Handler<Kind> } = {
  'settings.change': applySettingsChange,
  'audit.refused': applyRefusedChange,
  'claim.take': ({ claims, clock, tree }, { claimKey, attemptId, host, keyCreatedAt, fingerprint }) =>
    claims.take({ claimKey, attemptId, host, keyCreatedAt, fingerprint, now: clock.now, limits: readClaimLimits(tree) }),
  'claim.finish': ({ claims, clock, tree }, { claimKey, attemptId, outcome }) =>
    claims.finish({ claimKey, attemptId, outcome, now: clock.now, limits: readClaimLimits(tree) }),
  'claim.resolve': (tables, command) => applyResolveClaim(tables, command, readClaimLimits(tables.tree)),
  'routes.replace': (tables, { table, document }) => replaceRoutes(tables, { table, document }),
  'routes.replacePacked': (tables, command) => replaceRoutes(tables, unpackRoutes(command)),
  'adapter.announce': ({ announced }, { model, adapter, version }) => ({ kind: 'adapter.announced', version: announced.announce(model, adapter, version) }),
  'prompt.quarantine': ({ quarantined, clock }, { part }) => {
    quarantined.add(part, clock.now)
    return { kind: 'recorded' }
  },
  'prompt.release': ({ quarantined }, { part }) => {
    quarantined.remove(part)
    return { kind: 'recorded' }
  },
  'endpoint.fact': ({ endpointFacts }, { endpoint, checksFencing }) => {
    endpointFacts.set(endpoint, checksFencing)
    return { kind: 'recorded' }
  },
  'service.versions': ({ serviceVersions, clock }, { pool, versions }) => {
    serviceVersions.replace(pool, versions, clock.now)
    return { kind: 'recorded' }
  }
}

type QueryHandler<Kind extends Query['kind']> = (tables: StateTables, query: Extract<Query, { kind: Kind }>) => unknown

/** Queries that are answered from this state; the voter and the dissemination answer the others. */
const queryHandlers: { readonly [Kind in Query['kind']]?: QueryHandler<Kind> } = {
  claim: ({ claims, clock, tree }, { claimKey }) => claims.get(claimKey, clock.now, readClaimLimits(tree)),
  claims: ({ claims, clock, tree }, { state, limit }) => claims.list({ state, limit: Math.min(limit, MAX_PAGE), now: clock.now, limits: readClaimLimits(tree) }),
  audit: ({ audit }, { afterSequence, limit, path, who }) => audit.list({ afterSequence, limit: Math.min(limit, MAX_PAGE), path, who }),
  routes: ({ routes }) => routes.read(),
  routesVersion: ({ routes }) => routes.get()?.table.version ?? 0,
  settings: ({ tree }, { path, effective, explain }) => describeNode({ tree, path, effective, explain })
}

function formatDelta (entry: { revision?: number, nodes: readonly { path: string, after?: Readonly<Record<string, unknown>> }[] }): RevisionDelta {
  const revision = entry.revision!
  return { revision, nodes: entry.nodes.map(({ path, after }) => ({ path, nodeRevision: revision, ...(after === undefined ? {} : { values: after }) })) }
}

/** Creates an empty state. */
export function createReplicatedState (): ReplicatedState {
  let tables = createStateTables(createSettingsTree())
  const listeners: ((delta: RevisionDelta) => void)[] = []
  const notifyListeners = (delta: RevisionDelta): void => {
    for (const listener of listeners) listener(delta)
  }

  function apply (opts: { readonly proposedAt: WallMs, readonly command: Command }): CommandOutcome {
    const { clock } = tables
    clock.now = Math.max(clock.now, opts.proposedAt)
    const handle = handlers[opts.command.kind] as Handler<Command['kind']>
    const outcome = handle(tables, opts.command as never, notifyListeners)
    expireTables(tables)
    return outcome
  }

  return {
    apply,
    checkCommand,
    takeSnapshot: () => encodeSnapshot(tables),
    restoreSnapshot: data => { tables = decodeSnapshot(data) },
    answerQuery: query => (queryHandlers[query.kind] as QueryHandler<Query['kind']> | undefined)?.(tables, query as never),
    getRevision: () => tables.tree.getRevision(),
    getTree: () => tables.tree,
    listDeltasAfter: revision => {
      const entries = tables.audit.listAcceptedAfter(revision)
      const isComplete = entries.length === tables.tree.getRevision() - revision
      return isComplete ? entries.map(formatDelta) : undefined
    },
    getRoutes: () => tables.routes.get(),
    listAnnouncedAfter: sequence => tables.announced.listAfter(sequence),
    getAnnouncedSequence: () => tables.announced.getSequence(),
    getAnnouncedVersion: (model, adapter) => tables.announced.get(model, adapter),
    listQuarantined: () => tables.quarantined.list(),
    getQuarantineRevision: () => tables.quarantined.getRevision(),
    getServiceVersions: () => tables.serviceVersions,
    listNodes: () => listTreeNodes(tables.tree),
    onRevision: listener => { listeners.push(listener) }
  }
}

function * listTreeNodes (tree: SettingsTree): IterableIterator<NodeDelta> {
  for (const { path, revision, values } of tree.walkNodes()) yield { path, nodeRevision: revision, values }
}
