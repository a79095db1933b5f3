/** Takes in settings messages: applies deltas, closes gaps, follows a transfer of the full state. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { SettingsMessage } from '@catkinferry/wire.messages'
import type { AppliedReports } from './appliedReports.ts'
import { FIRST_ANSWER_MS, HEARTBEAT_MS, PASS_ON_SHARE, REPAIR_MS } from './constants.ts'
import type { Core } from './core.ts'
import { sendSettings } from './core.ts'
import type { Startup } from './startup.ts'
import { receiveAsk, sendHeartbeats } from './subscribers.ts'
import type { TransferStep } from './transfer.ts'
import type { Upstream } from './upstream.ts'

/** Times that a step of a transfer is asked for again before it is given up. */
const MAX_STALLS = 4

export interface Receiver {
  readonly receive: (from: HostId, message: SettingsMessage, context: RunContext) => void
  /** Asks again for what is still missing. */
  readonly repair: (context: RunContext) => void
}

type MessageOf<Kind extends SettingsMessage['kind']> = Extract<SettingsMessage, { kind: Kind }>
type Handlers = { readonly [Kind in SettingsMessage['kind']]: (from: HostId, message: MessageOf<Kind>, context: RunContext) => void }

function noteMajority (core: Core, majorityAgeMs: number | undefined, context: RunContext): void {
  if (majorityAgeMs === undefined) return
  const at = context.now - majorityAgeMs
  if (core.majorityAt === undefined || at > core.majorityAt) core.majorityAt = at
}

/** Creates the receiver of one host. */
export function createReceiver (opts: { core: Core, upstream: Upstream, startup: Startup, reports: AppliedReports }): Receiver {
  const { core, upstream, startup, reports } = opts
  const { transfer } = core
  /** The host that showed a higher revision, and that revision. */
  let missing: { from: HostId, highest: number } | undefined
  let stalls = 0
  let askedBackAt: MonotonicMs = -Infinity

  function sendAsk (to: HostId, part: number | undefined, after: number, context: RunContext): void {
    sendSettings(core, to, { kind: 'settings.ask', after, ...(part === undefined ? {} : { part }) }, context)
  }

  function carryOut (from: HostId, step: TransferStep, context: RunContext): void {
    if (step.kind === 'ignored') return
    if (step.kind === 'done') {
      core.inForce.replaceTree(step.tree)
      return
    }
    if (step.kind === 'askPart') sendAsk(from, step.part, 0, context)
    else sendAsk(from, undefined, step.after, context)
    missing = { from, highest: Infinity }
    core.due.set('repair', context.now + FIRST_ANSWER_MS)
  }

  function noteMissing (from: HostId, highest: number, context: RunContext): void {
    if (transfer.isActive() || core.inForce.getRevision() >= highest) return
    if (missing === undefined) core.due.set('repair', context.now + REPAIR_MS)
    missing = { from, highest }
  }

  function repair (context: RunContext): void {
    if (missing === undefined) return
    const { from, highest } = missing
    missing = undefined
    if (transfer.isActive()) {
      if (++stalls > MAX_STALLS) transfer.cancel()
      else carryOut(from, transfer.getPendingStep(), context)
      return
    }
    if (core.inForce.getRevision() >= highest || highest === Infinity) return
    sendAsk(from, undefined, core.inForce.getRevision(), context)
  }

  function receiveDeltas (from: HostId, message: MessageOf<'settings.deltas'>, context: RunContext): void {
    noteMajority(core, message.majorityAgeMs, context)
    upstream.noteHeard(from, message.majorityAgeMs, context)
    // A voter that follows the log takes nothing from others.
    if (core.isSource()) return
    carryOut(from, transfer.receiveDeltas(from, message.deltas), context)
    core.inForce.applyDeltas(message.deltas)
    noteMissing(from, message.highest, context)
    // What is known of the majority is passed on without waiting for the own heartbeat.
    if (from === upstream.getHost() && message.deltas.length === 0) sendHeartbeats(core, HEARTBEAT_MS * PASS_ON_SHARE, context)
  }

  /** A subscriber that is ahead of this host gives it what it lacks. */
  function askBack (from: HostId, after: number, context: RunContext): void {
    if (core.isSource() || after <= core.inForce.getRevision() || context.now < askedBackAt + REPAIR_MS) return
    askedBackAt = context.now
    sendAsk(from, undefined, core.inForce.getRevision(), context)
  }

  const handlers: Handlers = {
    'settings.deltas': receiveDeltas,
    'settings.ask': (from, message, context) => {
      receiveAsk(core, from, message, context)
      askBack(from, message.after, context)
    },
    'settings.leave': from => { core.subscribers.delete(from) },
    'settings.part': (from, message, context) => {
      upstream.noteHeard(from, undefined, context)
      const isUseless = core.isSource() || (!transfer.isActive() && message.revision <= core.inForce.getRevision())
      if (isUseless) return
      const step = transfer.receivePart(from, message)
      if (step.kind !== 'ignored') stalls = 0
      carryOut(from, step, context)
    },
    'settings.applied': (_from, { applied }, context) => { reports.receiveRows(applied, context) },
    'settings.zoneApplied': (_from, message, context) => { reports.receiveZone(message, context) },
    'settings.probe': (from, { probeId }, context) => {
      sendSettings(core, from, { kind: 'settings.probeAnswer', probeId, revision: core.inForce.getRevision(), ready: core.ready }, context)
    },
    'settings.probeAnswer': (from, message, context) => { startup.receiveAnswer(from, message, context) }
  }

  return {
    receive: (from, message, context) => { handlers[message.kind](from, message as never, context) },
    repair
  }
}
