/** Faults of the fault matrix. To add a fault, add an entry to `matrixFaults`. */
import { applyAction } from './actions.ts'
import type { World } from './world.ts'

export interface MatrixFault {
  readonly name: string
  /** Injects the fault. `host` is the host whose output triggered the step. */
  readonly apply: (world: World, host: string) => void
}

const PARTITION_DURATION_MS = 20_000

function getHostIndex (world: World, host: string): number {
  return world.cluster.listHostNames().indexOf(host)
}

function isolateHost (world: World, host: string): void {
  applyAction(world, { kind: 'cutHost', host: getHostIndex(world, host) })
  world.cluster.scheduler.add(PARTITION_DURATION_MS, () => world.cluster.faults.healAll())
}

function restartHost (world: World, host: string, afterMs: number): void {
  world.cluster.crash(host)
  world.cluster.scheduler.add(afterMs, () => world.cluster.start(host))
}

function restartEngines (world: World): void {
  for (const engine of world.cluster.engines.values()) engine.restart()
}

function failLoads (world: World, on: boolean): void {
  for (const engine of world.cluster.engines.values()) engine.faults.loadsFail = on
}

function silenceEndpoints (world: World, on: boolean): void {
  for (const engine of world.cluster.engines.values()) engine.faults.silent = on
  for (const service of world.cluster.services.values()) service.faults.silent = on
}

const OUTAGE_MS = 6_000
const PAUSE_MS = 7_000

export const matrixFaults: readonly MatrixFault[] = [
  {
    name: 'popularity shifts',
    apply: world => {
      for (let adapter = 0; adapter < world.cluster.shape.adapters; adapter++) applyAction(world, { kind: 'submit', host: adapter, adapter: 7 - adapter, pinned: false, serviceClass: 'urgent', times: 4 })
    }
  },
  { name: 'engines restart empty', apply: restartEngines },
  {
    name: 'loads fail',
    apply: world => {
      failLoads(world, true)
      world.cluster.scheduler.add(OUTAGE_MS, () => failLoads(world, false))
    }
  },
  { name: 'host isolated silently', apply: isolateHost },
  { name: 'host restarts', apply: (world, host) => restartHost(world, host, 500) },
  { name: 'host is lost for a while', apply: (world, host) => restartHost(world, host, OUTAGE_MS) },
  {
    name: 'second host lost after a repair',
    apply: (world, host) => {
      restartHost(world, host, 1_000)
      const other = world.cluster.listHostNames().find(name => name !== host && world.cluster.disks.has(name)) ?? host
      world.cluster.scheduler.add(2_500, () => restartHost(world, other, OUTAGE_MS))
    }
  },
  {
    name: 'operators race',
    apply: world => {
      for (let n = 0; n < 3; n++) applyAction(world, { kind: 'change', host: n, rival: n + 3, adapter: 1, version: 'v2' })
    }
  },
  {
    name: 'operator resends after a lost answer',
    apply: (world, host) => {
      applyAction(world, { kind: 'change', host: getHostIndex(world, host), rival: 5, adapter: 3, version: 'v2' })
      restartHost(world, host, 500)
      world.cluster.scheduler.add(3_000, () => {
        for (let change = 0; change < 4; change++) applyAction(world, { kind: 'resendChange', host: change, change })
      })
    }
  },
  {
    name: 'caller resends to another host',
    apply: (world, host) => {
      for (let key = 0; key < 4; key++) applyAction(world, { kind: 'resend', host: getHostIndex(world, host) + 1 + key, key })
    }
  },
  { name: 'process is paused', apply: (world, host) => world.cluster.hosts.get(host)?.pause(PAUSE_MS) },
  { name: 'paused between deciding and sending', apply: (world, host) => world.cluster.hosts.get(host)?.delayNextOutputs(PAUSE_MS) },
  {
    name: 'zone cut off',
    apply: (world, host) => {
      applyAction(world, { kind: 'cutZone', zone: world.cluster.shape.zones.findIndex(({ zone }) => host.startsWith(zone)) })
      world.cluster.scheduler.add(PARTITION_DURATION_MS, () => world.cluster.faults.healAll())
    }
  },
  {
    name: 'connections go silent',
    apply: world => {
      silenceEndpoints(world, true)
      world.cluster.scheduler.add(OUTAGE_MS, () => silenceEndpoints(world, false))
    }
  },
  {
    name: 'endpoints unreachable from the host',
    apply: (world, host) => {
      applyAction(world, { kind: 'cutEndpoints', host: getHostIndex(world, host) })
      world.cluster.scheduler.add(OUTAGE_MS, () => world.cluster.faults.healAll())
    }
  },
  {
    name: 'answers crossed',
    apply: world => {
      for (const engine of world.cluster.engines.values()) engine.faults.crossedEcho = true
      world.cluster.scheduler.add(OUTAGE_MS, () => { for (const engine of world.cluster.engines.values()) engine.faults.crossedEcho = false })
    }
  },
  { name: 'messages lost, doubled and reordered', apply: world => applyAction(world, { kind: 'degrade', drop: 15, duplicate: 20, delayMs: 50 }) },
  { name: 'endpoint leaves', apply: world => applyAction(world, { kind: 'leave', engine: 0 }) }
]
