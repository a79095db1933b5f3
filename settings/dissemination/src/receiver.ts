/** Handles incoming settings messages: applies deltas, requests missing revisions, drives transfers of the full state. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { SettingsMessage } from '@catkinferry/wire.messages'
import type { AppliedReports } from './appliedReports.ts'
import { FIRST_ANSWER_TIMEOUT_MS, HEARTBEAT_FORWARD_FRACTION, HEARTBEAT_MS, MIN_REPAIR_INTERVAL_MS } from './constants.ts'
import type { SharedState } from './sharedState.ts'
import { sendSettings } from './sharedState.ts'
import type { Startup } from './startup.ts'
import { receiveSubscribe, sendHeartbeats } from './subscribers.ts'
import type { TransferStep } from './transfer.ts'
import type { Upstream } from './upstream.ts'

/** Times that a step of a transfer is requested again before the transfer is cancelled. */
const MAX_STEP_RETRIES = 4

export interface Receiver {
  readonly receive: (from: HostId, message: SettingsMessage, context: RunContext) => void
  /** Requests missing deltas or parts again. */
  readonly repair: (context: RunContext) => void
}

type MessageOf<Kind extends SettingsMessage['kind']> = Extract<SettingsMessage, { kind: Kind }>
type Handlers = { readonly [Kind in SettingsMessage['kind']]: (from: HostId, message: MessageOf<Kind>, context: RunContext) => void }

function recordMajority (state: SharedState, majorityAgeMs: number | undefined, context: RunContext): void {
  if (majorityAgeMs === undefined) return
  const at = context.now - majorityAgeMs
  if (state.majorityKnownAt === undefined || at > state.majorityKnownAt) state.majorityKnownAt = at
}

/** Creates the receiver of one host. */
export function createReceiver (opts: { state: SharedState, upstream: Upstream, startup: Startup, reports: AppliedReports }): Receiver {
  const { state, upstream, startup, reports } = opts
  const { transfer } = state
  /** The host that announced a higher revision, and that revision; infinite during a transfer. */
  let gap: { from: HostId, highest: number } | undefined
  let stepRetries = 0
  let lastSubscriberRequestAt: MonotonicMs = -Infinity

  function sendRequest (to: HostId, part: number | undefined, after: number, context: RunContext): void {
    sendSettings(state, to, { kind: 'settings.ask', after, ...(part === undefined ? {} : { part }) }, context)
  }

  function performStep (from: HostId, step: TransferStep, context: RunContext): void {
    if (step.kind === 'ignored') return
    if (step.kind === 'done') {
      state.settingsInForce.replaceTree(step.tree)
      return
    }
    if (step.kind === 'askPart') sendRequest(from, step.part, 0, context)
    else sendRequest(from, undefined, step.after, context)
    gap = { from, highest: Infinity }
    state.dueTasks.set('repair', context.now + FIRST_ANSWER_TIMEOUT_MS)
  }

  function recordGap (from: HostId, highest: number, context: RunContext): void {
    if (transfer.isActive() || state.settingsInForce.getRevision() >= highest) return
    if (gap === undefined) state.dueTasks.set('repair', context.now + MIN_REPAIR_INTERVAL_MS)
    gap = { from, highest }
  }

  function repair (context: RunContext): void {
    if (gap === undefined) return
    const { from, highest } = gap
    gap = undefined
    if (transfer.isActive()) {
      if (++stepRetries > MAX_STEP_RETRIES) transfer.cancel()
      else performStep(from, transfer.getPendingStep(), context)
      return
    }
    if (state.settingsInForce.getRevision() >= highest || highest === Infinity) return
    sendRequest(from, undefined, state.settingsInForce.getRevision(), context)
  }

  function receiveDeltas (from: HostId, message: MessageOf<'settings.deltas'>, context: RunContext): void {
    recordMajority(state, message.majorityAgeMs, context)
    upstream.recordAnswer(from, message.majorityAgeMs, context)
    // A voter that follows the log ignores the deltas of other hosts.
    if (state.isSource()) return
    performStep(from, transfer.receiveDeltas(from, message.deltas), context)
    state.settingsInForce.applyDeltas(message.deltas)
    recordGap(from, message.highest, context)
    // Forwards the age of the majority contact without waiting for this host's own heartbeat.
    if (from === upstream.getHost() && message.deltas.length === 0) sendHeartbeats(state, HEARTBEAT_MS * HEARTBEAT_FORWARD_FRACTION, context)
  }

  /** Requests the missing revisions from a subscriber that is ahead of this host. */
  function requestFromSubscriber (from: HostId, after: number, context: RunContext): void {
    if (state.isSource() || after <= state.settingsInForce.getRevision() || context.now < lastSubscriberRequestAt + MIN_REPAIR_INTERVAL_MS) return
    lastSubscriberRequestAt = context.now
    sendRequest(from, undefined, state.settingsInForce.getRevision(), context)
  }

  const handlers: Handlers = {
    'settings.deltas': receiveDeltas,
    'settings.ask': (from, message, context) => {
      receiveSubscribe(state, from, message, context)
      requestFromSubscriber(from, message.after, context)
    },
    'settings.leave': from => { state.subscribers.delete(from) },
    'settings.part': (from, message, context) => {
      upstream.recordAnswer(from, undefined, context)
      const isObsolete = state.isSource() || (!transfer.isActive() && message.revision <= state.settingsInForce.getRevision())
      if (isObsolete) return
      const step = transfer.receivePart(from, message)
      if (step.kind !== 'ignored') stepRetries = 0
      performStep(from, step, context)
    },
    'settings.applied': (_from, { applied }, context) => { reports.receiveHostReport(applied, context) },
    'settings.zoneApplied': (_from, message, context) => { reports.receiveZoneReport(message, context) },
    'settings.probe': (from, { probeId }, context) => {
      sendSettings(state, from, { kind: 'settings.probeAnswer', probeId, revision: state.settingsInForce.getRevision(), ready: state.ready }, context)
    },
    'settings.probeAnswer': (from, message, context) => { startup.receiveAnswer(from, message, context) }
  }

  return {
    receive: (from, message, context) => { handlers[message.kind](from, message as never, context) },
    repair
  }
}
