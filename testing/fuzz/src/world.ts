/**
 * State of one test run: a simulated deployment with adapters, and a record of what callers and operators have submitted
 * and which answers the operators received.
 */
import type { NodeChange, OperatorReply } from '@catkinferry/core.types'
import { createCluster, ENGINE_POOL, MODEL, WALL_EPOCH_MS } from '@catkinferry/testing.network'
import type { Cluster, DeploymentShape } from '@catkinferry/testing.network'

const CHANGE_DEADLINE_MS = 5_000
const SETTLE_MS = 8_000

export interface WorldChange {
  readonly changeId: string
  readonly changes: readonly NodeChange[]
}

/** Non-idempotent work with an idempotency key of its caller. */
export interface KeyedWork {
  readonly claimKey: string
  /** Undefined if the work is a call to a plain service. */
  readonly adapter?: string
}

export interface World {
  readonly cluster: Cluster
  /** Changes submitted so far, for resends. */
  readonly changes: WorldChange[]
  /** Accepting answer by change id; resends must receive the same one. */
  readonly acceptedAnswers: Map<string, string>
  /** Id of the accepted change by node and expected revision. */
  readonly winners: Map<string, string>
  /** Violations found in the answers to operators; the oracle does not see these answers. */
  readonly violations: string[]
  /** Hosts whose disk was wiped; at most one, so that the voters keep a majority. */
  readonly wipedHosts: Set<string>
  /** Highest revision of each settings node that an operator has received. */
  readonly nodeRevisions: Map<string, number>
  /** Non-idempotent submissions with a key so far, for resends. */
  readonly keyedWork: KeyedWork[]
  changeCount: number
  acceptedCount: number
}

function recordAcceptance (world: World, change: WorldChange, body: unknown): void {
  const { revision, repeated, nodes } = body as { revision: number, repeated: boolean, nodes: ReadonlyArray<{ path: string, revision: number }> }
  const first = world.acceptedAnswers.get(change.changeId)
  const answer = `accepted ${revision}`
  if (first !== undefined && first !== answer) world.violations.push(`change ${change.changeId} was answered with '${first}' and then with '${answer}'`)
  world.acceptedAnswers.set(change.changeId, answer)
  if (!repeated) recordWinner(world, change)
  for (const node of nodes) world.nodeRevisions.set(node.path, Math.max(node.revision, world.nodeRevisions.get(node.path) ?? 0))
  if (repeated) return
  world.acceptedCount++
  world.cluster.observe({ kind: 'changeAccepted', at: world.cluster.scheduler.getNow(), revision, changeId: change.changeId })
}

/** Records which change won. Of the changes that expect the same revision of a node, at most one may be accepted. */
function recordWinner (world: World, change: WorldChange): void {
  for (const { path, expectedRevision } of change.changes) {
    const key = `${path}#${expectedRevision}`
    const winner = world.winners.get(key)
    if (winner !== undefined && winner !== change.changeId) world.violations.push(`${winner} and ${change.changeId} both changed ${path} at revision ${expectedRevision}`)
    world.winners.set(key, change.changeId)
  }
}

function recordReply (world: World, change: WorldChange, reply: OperatorReply): void {
  if (reply.ok) {
    recordAcceptance(world, change, reply.body)
    return
  }
  const first = world.acceptedAnswers.get(change.changeId)
  if (reply.failure.code === 'ERR_CATKINFERRY_CONFLICT' && first?.startsWith('accepted') === true) {
    world.violations.push(`change ${change.changeId} was accepted and then refused with a conflict`)
  }
}

/** Submits a change through a host and checks the answer when it arrives. */
export function submitWorldChange (world: World, host: string, change: WorldChange, onReply?: (reply: OperatorReply) => void): void {
  world.cluster.sendOperatorRequest({
    host,
    call: { kind: 'settings.change', changeId: change.changeId, changes: change.changes, dryRun: false, deadlineMs: CHANGE_DEADLINE_MS },
    onReply: reply => {
      recordReply(world, change, reply)
      onReply?.(reply)
    }
  })
}

export function formatAdapter (index: number): string {
  return `adapter-${index}`
}

/** Path of the adapter's settings node. */
export function formatAdapterPath (index: number): string {
  return `models/${MODEL}/${formatAdapter(index)}`
}

function buildInitialChanges (shape: DeploymentShape): NodeChange[] {
  const changes: NodeChange[] = [{ path: `models/${MODEL}`, expectedRevision: 0, values: { pool: ENGINE_POOL } }]
  for (let index = 0; index < shape.adapters; index++) {
    const path = formatAdapterPath(index)
    changes.push({ path, expectedRevision: 0, values: { inForce: 'v1' } })
    changes.push({ path: `${path}/v1`, expectedRevision: 0, values: {} })
    changes.push({ path: `${path}/v2`, expectedRevision: 0, values: {} })
  }
  return changes
}

/** Creates a deployment and its adapters, all at version v1. Throws if the change that creates the adapters is not accepted. */
export function createWorld (opts: { seed: number, shape: DeploymentShape }): World {
  const cluster = createCluster(opts)
  const world: World = {
    cluster,
    changes: [],
    acceptedAnswers: new Map(),
    winners: new Map(),
    violations: [],
    wipedHosts: new Set(),
    nodeRevisions: new Map(),
    keyedWork: [],
    changeCount: 0,
    acceptedCount: 0
  }
  cluster.runFor(SETTLE_MS)
  const host = cluster.listHostNames()[0] ?? ''
  const replies: OperatorReply[] = []
  submitWorldChange(world, host, { changeId: 'first', changes: buildInitialChanges(opts.shape) }, reply => { replies.push(reply) })
  cluster.runFor(SETTLE_MS)
  if (replies[0]?.ok !== true) throw new Error(`the change that creates the adapters was not accepted: ${JSON.stringify(replies[0])}\n${cluster.log.slice(-50).join('\n')}`)
  return world
}

/** Builds a UUIDv7 from the simulated wall time; `index` makes it unique. */
export function formatClaimKey (world: World, index: number): string {
  const time = (WALL_EPOCH_MS + Math.floor(world.cluster.scheduler.getNow())).toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${index.toString(16).padStart(12, '0')}`
}
