/** Protocol steps at which the fault matrix injects faults. To add a step, add an entry to `matrixSteps`. */
import type { HostOutput } from '@catkinferry/host.events'
import { applyAction } from './actions.ts'
import { formatAdapterPath, submitWorldChange } from './world.ts'
import type { World } from './world.ts'

export interface MatrixStep {
  readonly name: string
  /** Submits the work that leads to the step. */
  readonly begin: (world: World) => void
  /** Whether this output of a host is the step; the faults are injected before the output is executed. */
  readonly isTrigger: (output: HostOutput) => boolean
}

function isMessage (output: HostOutput, kind: string): boolean {
  return output.kind === 'peer.send' && output.message.kind === kind
}

function isCommand (output: HostOutput, kind: string): boolean {
  return output.kind === 'peer.send' && output.message.kind === 'command.submit' && output.message.command.kind === kind
}

function isOrder (output: HostOutput, kind: string): boolean {
  return output.kind === 'order.send' && output.order.kind === kind
}

function submitToAllHosts (world: World): void {
  world.cluster.listHostNames().forEach((_, host) => {
    applyAction(world, { kind: 'submit', host, adapter: host, pinned: false, serviceClass: 'standard', times: 3 })
  })
}

function submitOnceFromAllHosts (world: World): void {
  world.cluster.listHostNames().forEach((_, host) => {
    applyAction(world, { kind: 'submitOnce', host, adapter: host, service: host % 2 === 0, keyed: true })
  })
}

function submitManyAdapters (world: World): void {
  for (let adapter = 0; adapter < world.cluster.shape.adapters; adapter++) {
    for (let host = 0; host < world.cluster.listHostNames().length; host++) {
      applyAction(world, { kind: 'submit', host, adapter, pinned: false, serviceClass: 'urgent', times: 1 })
    }
  }
}

function submitRivalChanges (world: World): void {
  applyAction(world, { kind: 'change', host: 1, rival: 4, adapter: 1, version: 'v2' })
}

/** Enough changes for the voters to write a snapshot. */
const CHANGES_FOR_SNAPSHOT = 400

function submitManyChanges (world: World): void {
  const path = formatAdapterPath(2)
  for (let n = 0; n < CHANGES_FOR_SNAPSHOT; n++) {
    const change = { changeId: `often-${n}`, changes: [{ path: `${path}/w${n}`, expectedRevision: 0, values: {} }] }
    submitWorldChange(world, world.cluster.listHostNames()[1] ?? '', change)
    if (n % 20 === 0) world.cluster.runFor(50)
  }
}

export const matrixSteps: readonly MatrixStep[] = [
  { name: 'request', begin: submitToAllHosts, isTrigger: output => output.kind === 'attempt.start' },
  { name: 'answer', begin: submitToAllHosts, isTrigger: output => output.kind === 'caller.chunk' },
  { name: 'grant', begin: submitToAllHosts, isTrigger: output => isMessage(output, 'grant.given') },
  { name: 'claim', begin: submitOnceFromAllHosts, isTrigger: output => isCommand(output, 'claim.take') },
  { name: 'claim outcome', begin: submitOnceFromAllHosts, isTrigger: output => isCommand(output, 'claim.finish') },
  { name: 'load', begin: submitManyAdapters, isTrigger: output => isOrder(output, 'load') },
  { name: 'evict', begin: submitManyAdapters, isTrigger: output => isOrder(output, 'evict') },
  { name: 'lease', begin: submitToAllHosts, isTrigger: output => isMessage(output, 'lease.ask') },
  {
    name: 'hand-over',
    begin: world => {
      submitToAllHosts(world)
      applyAction(world, { kind: 'crash', host: 1 })
    },
    isTrigger: output => isMessage(output, 'owner.assign')
  },
  { name: 'change', begin: submitRivalChanges, isTrigger: output => isMessage(output, 'consensus.append') },
  { name: 'dissemination', begin: submitRivalChanges, isTrigger: output => isMessage(output, 'settings.deltas') },
  { name: 'snapshot', begin: submitManyChanges, isTrigger: output => output.kind === 'disk.request' && output.request.kind === 'snapshot' },
  {
    name: 'voter replacement',
    begin: world => {
      submitRivalChanges(world)
      world.cluster.sendOperatorRequest({
        host: 'zone-a-h0',
        call: { kind: 'voters.replace', changeId: 'replace', remove: 'zone-c-h0', deadlineMs: 5_000 },
        onReply: () => {}
      })
    },
    isTrigger: output => isMessage(output, 'consensus.append')
  },
  {
    name: 'graceful shutdown',
    begin: world => {
      submitToAllHosts(world)
      submitOnceFromAllHosts(world)
      world.cluster.runFor(100)
      applyAction(world, { kind: 'stop', host: 1 })
    },
    isTrigger: output => output.kind === 'host.health' && !output.ready
  }
]
