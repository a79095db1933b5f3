/** Runs a list of actions against a simulated deployment, ends all faults, and checks safety and liveness. Used by the fuzzer, the matrix and their tests. */
import type { DeploymentShape } from '@catkinferry/testing.network'
import { applyAction } from './actions.ts'
import type { Action } from './actions.ts'
import { createWorld, formatAdapter, formatAdapterPath, submitWorldChange } from './world.ts'
import type { World } from './world.ts'

/** Virtual time that passes after each action. */
const ACTION_INTERVAL_MS = 20
/** After the last fault ends, all queued requests must be settled and changes accepted within this time. */
const RECOVERY_LIMIT_MS = 40_000
/** Graceful shutdowns in progress when the faults end must finish within this time. */
const SHUTDOWN_LIMIT_MS = 20_000
/** Time within which the probe requests and the probe change of the liveness check must be answered. */
const LIVENESS_CHECK_MS = 10_000
const PROBE_DEADLINE_MS = 9_000

export interface RunVerdict {
  readonly violations: readonly string[]
  readonly submitted: number
  readonly completed: number
  readonly acceptedChanges: number
  readonly log: readonly string[]
}

function startStoppedHosts (world: World): void {
  for (const host of world.cluster.listHostNames()) world.cluster.start(host)
}

function endFaults (world: World): void {
  const { cluster } = world
  cluster.faults.healAll()
  for (const engine of cluster.engines.values()) Object.assign(engine.faults, { loadsFail: false, silent: false, crossedEcho: false, breaks: false })
  for (const disk of cluster.disks.values()) disk.restoreSpeed()
  for (const service of cluster.services.values()) service.faults.silent = false
  startStoppedHosts(world)
}

/** Checks that every request was settled, that every host serves again and that changes are accepted again. */
function checkLiveness (world: World): string[] {
  const { cluster } = world
  const problems = cluster.oracle.listUnsettled().map(token => `${token} was not settled: neither an answer nor a failure was sent`)
  const probes = cluster.listHostNames().map(host => {
    const request = cluster.callers.submit({ host, caller: 'probe', adapter: formatAdapter(0), version: 'v1', idempotent: true, serviceClass: 'urgent', deadlineMs: PROBE_DEADLINE_MS })
    cluster.hosts.get(host)?.receive({ kind: 'caller.submit', request })
    return { host, requestId: request.requestId }
  })
  const before = cluster.oracle.countCompleted()
  const acceptedBefore = world.acceptedCount
  const path = formatAdapterPath(0)
  const revision = Math.max(1, world.nodeRevisions.get(path) ?? 1)
  submitWorldChange(world, cluster.listHostNames()[0] ?? '', { changeId: 'probe', changes: [{ path: `${path}/probe`, expectedRevision: 0, values: {} }] })
  cluster.runFor(LIVENESS_CHECK_MS)
  const served = cluster.oracle.countCompleted() - before
  if (served < probes.length && hasEngineInEveryZone(world)) problems.push(`only ${served} of ${probes.length} probe requests succeeded after the faults had ended`)
  if (world.acceptedCount === acceptedBefore) problems.push(`no change was accepted after the faults had ended (adapter node at ${revision})`)
  return problems
}

function hasEngineInEveryZone (world: World): boolean {
  return world.cluster.shape.zones.every(({ zone }) => [...world.cluster.listed.values()].some(row => row.zone === zone && row.kind === 'engine' && !row.leaving))
}

/** Ends all faults, lets the deployment recover, and checks it. */
export function finishRun (world: World): RunVerdict {
  const { cluster } = world
  endFaults(world)
  cluster.runFor(SHUTDOWN_LIMIT_MS)
  startStoppedHosts(world)
  cluster.runFor(RECOVERY_LIMIT_MS)
  const problems = checkLiveness(world)
  const safetyViolations = cluster.oracle.listViolations().map(({ at, text }) => `${at.toFixed(0)}: ${text}`)
  return {
    violations: [...safetyViolations, ...world.violations, ...problems],
    submitted: cluster.oracle.countSubmitted(),
    completed: cluster.oracle.countCompleted(),
    acceptedChanges: world.acceptedCount,
    log: cluster.log
  }
}

/** Creates a deployment, applies the actions in order and checks the result. */
export function runActions (opts: { seed: number, shape: DeploymentShape, actions: readonly Action[] }): RunVerdict {
  const world = createWorld(opts)
  const { cluster } = world
  for (const action of opts.actions) {
    cluster.log.push(`${cluster.scheduler.getNow().toFixed(0).padStart(8)} ACTION ${JSON.stringify(action)}`)
    applyAction(world, action)
    cluster.runFor(ACTION_INTERVAL_MS)
  }
  return finishRun(world)
}
