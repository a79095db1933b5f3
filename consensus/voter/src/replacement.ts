/**
 * Replaces a voter at an operator's request, in single membership changes that each keep a majority. Takes the next step
 * on the leader's runs until it is done.
 */
import type { LogMachine, MachineContext, MembershipStep } from '@catkinferry/consensus.log-machine'
import { findLearner, findMember, findVoter, Role } from '@catkinferry/consensus.log-machine'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Result } from '@catkinferry/core.errors'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import { REPLACEMENT_STEP_MS } from './constants.ts'

/** At least one host must be named: with only `remove` the group shrinks, with only `add` it grows. */
export interface ReplacementRequest {
  readonly remove?: HostId
  readonly add?: HostId
}

/** Progress of a replacement, for operators. */
export interface ReplacementProgress extends ReplacementRequest {
  readonly state: 'running' | 'done' | 'stopped'
  readonly steps: readonly string[]
  /** Why the next step is not possible yet. */
  readonly waitingFor?: string
}

export interface Replacement {
  readonly begin: (request: ReplacementRequest, context: MachineContext) => Result<ReplacementProgress>
  readonly run: (context: MachineContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
  readonly getProgress: () => ReplacementProgress | undefined
}

interface Job {
  readonly request: ReplacementRequest
  /** Distinguishes the member to remove from a new one on the same host. */
  readonly removeIncarnation: string | undefined
  /** The host to remove was lost or had not caught up at the start, so it is removed before the new voter is promoted. */
  readonly removeFirst: boolean
  state: ReplacementProgress['state']
  readonly steps: string[]
  waitingFor: string | undefined
  nextAt: MonotonicMs
}

/** Creates the replacement driver. A running replacement stops when leadership moves. */
export function createReplacement (machine: LogMachine): Replacement {
  let job: Job | undefined

  function begin (request: ReplacementRequest, context: MachineContext): Result<ReplacementProgress> {
    const { remove, add } = request
    if (job?.state === 'running') {
      if (job.request.remove === remove && job.request.add === add) return createOk(describeJob(job))
      return refuse('another replacement is under way')
    }
    if (machine.getState().role !== Role.LEADER) return refuse('this voter is not the leader')
    if (remove === undefined && add === undefined) return refuse('the request names neither a host to remove nor one to add')
    const membership = machine.getMembership()
    const removed = remove === undefined ? undefined : findMember(membership, remove)
    if (remove === machine.getState().host) {
      machine.transferLeadership(context)
      return refuse('the host to remove is the leader; leadership is being transferred, send the command again')
    }
    const isLost = remove !== undefined && !machine.isCaughtUp(remove, context)
    job = { request, removeIncarnation: removed?.incarnation, removeFirst: isLost, state: 'running', steps: [], waitingFor: undefined, nextAt: context.now }
    run(context)
    return createOk(describeJob(job))
  }

  function run (context: MachineContext): void {
    if (job?.state !== 'running' || context.now < job.nextAt) return
    job.nextAt = context.now + REPLACEMENT_STEP_MS
    if (machine.getState().role !== Role.LEADER) {
      job.state = 'stopped'
      job.waitingFor = 'leadership has moved; send the command again'
      return
    }
    const step = findNextStep(machine, job, context)
    if (step === undefined) {
      job.waitingFor = undefined
      job.state = 'done'
      return
    }
    const proposed = machine.proposeMembership(step, context)
    job.waitingFor = proposed.ok ? undefined : proposed.failure.message
    if (proposed.ok) job.steps.push(`${step.kind} ${step.host}`)
  }

  return {
    begin,
    run,
    getNextAt: () => job?.state === 'running' ? job.nextAt : undefined,
    getProgress: () => job === undefined ? undefined : describeJob(job)
  }
}

function refuse (reason: string): Result<ReplacementProgress> {
  return createFailed({ code: ErrorCode.CONFLICT, message: `voter replacement is refused: ${reason}`, step: 'membership' })
}

function describeJob ({ request, state, steps, waitingFor }: Job): ReplacementProgress {
  return { ...request, state, steps: [...steps], ...(waitingFor === undefined ? {} : { waitingFor }) }
}

/**
 * Removes a lost voter before the new one is promoted and a live one after, so that the group tolerates as many losses
 * as possible meanwhile.
 */
function findNextStep (machine: LogMachine, { request, removeIncarnation, removeFirst }: Job, context: MachineContext): MembershipStep | undefined {
  const { add, remove } = request
  const membership = machine.getMembership()
  const old = remove === undefined ? undefined : findMember(membership, remove)
  const mustRemove = old !== undefined && old.incarnation === removeIncarnation
  const removeStep: MembershipStep | undefined = mustRemove && remove !== undefined ? { kind: 'remove', host: remove } : undefined
  if (add === undefined || (add === remove && removeStep !== undefined)) return removeStep
  if (findMember(membership, add) === undefined) return { kind: 'addLearner', host: add }
  if (findVoter(membership, add) !== undefined) return removeStep
  const isReady = findLearner(membership, add)?.incarnation !== '' && machine.isCaughtUp(add, context)
  if (removeFirst && removeStep !== undefined && isReady) return removeStep
  return { kind: 'promote', host: add }
}
