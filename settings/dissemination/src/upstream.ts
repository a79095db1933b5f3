/** Chooses and watches the upstream, the host that this one is subscribed to: one ranked before it in its zone, else a voter. */
import type { HostId, MonotonicMs, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { CUT_OFF_AFTER_MS, FAN_OUT, FIRST_ANSWER_TIMEOUT_MS, RENEW_INTERVAL_MS, SILENCE_TIMEOUT_MS, TRIAL_INTERVAL_MS } from './constants.ts'
import type { SharedState } from './sharedState.ts'
import { isCutOff, sendSettings } from './sharedState.ts'

export interface Upstream {
  readonly getHost: () => HostId | undefined
  /** Subscribes to a host. */
  readonly setHost: (host: HostId, context: RunContext) => void
  /** Unsubscribes on a voter that follows the log; subscribes on any other host without an upstream. */
  readonly update: (context: RunContext) => void
  /** Records a message from a host. Subscribes to the trial host if the age of its majority contact, `majorityAgeMs`, shows that it is not cut off. */
  readonly recordAnswer: (from: HostId, majorityAgeMs: number | undefined, context: RunContext) => void
  /** Switches to the next candidate at once if the host is the upstream. */
  readonly handleUnreachable: (host: HostId, context: RunContext) => void
  readonly checkSilence: (context: RunContext) => void
  readonly renew: (context: RunContext) => void
  /** Subscribes on trial to a host that may be better than the upstream. */
  readonly tryBetterCandidate: (context: RunContext) => void
}

/** Orders the hosts of one zone by rank: voters first, then by name. The first reachable one is the relay. */
function compareRank (a: PeerRow, b: PeerRow): number {
  if (a.voter !== b.voter) return a.voter ? -1 : 1
  return a.host < b.host ? -1 : 1
}

/** Hosts with a rank below `ownRank`: first the ancestors in a tree with `FAN_OUT` children a node, then the others. */
function listLowerRanks (zone: readonly PeerRow[], ownRank: number): PeerRow[] {
  const ancestors: PeerRow[] = []
  for (let rank = ownRank; rank > 0;) {
    rank = Math.floor((rank - 1) / FAN_OUT)
    ancestors.push(zone[rank]!)
  }
  return [...ancestors, ...zone.slice(0, Math.max(0, ownRank)).filter(peer => !ancestors.includes(peer))]
}

/** Candidates for the upstream of a host, best first. `rotation` rotates the order of equally near voters, which spreads the load. */
export function listCandidates (state: SharedState, rotation: number): HostId[] {
  const { self } = state
  const peers = [...state.peers.values()]
  const zone = peers.filter(peer => peer.zone === self.zone).sort(compareRank)
  const lowerRanks = listLowerRanks(zone, zone.findIndex(peer => peer.host === self.host))
  const voters = peers.filter(peer => peer.voter && peer.host !== self.host && !lowerRanks.includes(peer)).sort(compareRank)
  const rotated = voters.map((_, index) => voters[(index + rotation) % voters.length]!)
  const near = rotated.filter(peer => peer.region === self.region)
  const far = rotated.filter(peer => peer.region !== self.region)
  return [...lowerRanks, ...near, ...far].map(peer => peer.host)
}

/** Largest random rotation, which is taken modulo the number of voters. */
const MAX_ROTATION = 2 ** 20

/** Creates the upstream of a host; `onChange` is called after each new subscription. */
export function createUpstream (state: SharedState, onChange: (context: RunContext) => void): Upstream {
  const { dueTasks } = state
  const rotation = state.random.nextInt(0, MAX_ROTATION)
  let host: HostId | undefined
  let subscribedAt: MonotonicMs = 0
  let lastAnswerAt: MonotonicMs | undefined
  let trialHost: HostId | undefined
  let trialCount = 0

  function sendSubscribe (to: HostId, context: RunContext): void {
    sendSettings(state, to, { kind: 'settings.ask', after: state.settingsInForce.getRevision() }, context)
  }

  function unsubscribe (context: RunContext): void {
    if (host !== undefined) sendSettings(state, host, { kind: 'settings.leave' }, context)
    host = undefined
    for (const task of ['silence', 'renew', 'trial'] as const) dueTasks.clear(task)
  }

  function setHost (next: HostId, context: RunContext): void {
    if (host !== next) unsubscribe(context)
    host = next
    subscribedAt = context.now
    lastAnswerAt = undefined
    trialHost = undefined
    sendSubscribe(next, context)
    dueTasks.set('silence', context.now + FIRST_ANSWER_TIMEOUT_MS)
    dueTasks.set('renew', context.now + RENEW_INTERVAL_MS)
    dueTasks.set('trial', context.now + TRIAL_INTERVAL_MS)
    onChange(context)
  }

  function switchToNext (context: RunContext): void {
    const candidates = listCandidates(state, rotation)
    const next = candidates[(host === undefined ? 0 : candidates.indexOf(host) + 1) % candidates.length]
    if (next !== undefined) setHost(next, context)
  }

  function chooseTrialHost (): HostId | undefined {
    const candidates = listCandidates(state, rotation)
    if (!isCutOff(state)) return candidates[0] === host ? undefined : candidates[0]
    const others = candidates.filter(candidate => candidate !== host)
    return others[trialCount++ % Math.max(1, others.length)]
  }

  return {
    getHost: () => host,
    setHost,
    update: context => {
      if (state.isSource()) {
        if (host !== undefined) unsubscribe(context)
      } else if (host === undefined) {
        switchToNext(context)
      }
    },
    recordAnswer: (from, majorityAgeMs, context) => {
      if (from === host) lastAnswerAt = context.now
      if (from !== trialHost || from === host) return
      if ((majorityAgeMs ?? Infinity) <= CUT_OFF_AFTER_MS) setHost(from, context)
    },
    handleUnreachable: (lost, context) => {
      if (lost === host) switchToNext(context)
    },
    checkSilence: context => {
      const deadline = lastAnswerAt === undefined ? subscribedAt + FIRST_ANSWER_TIMEOUT_MS : lastAnswerAt + SILENCE_TIMEOUT_MS
      if (context.now >= deadline) switchToNext(context)
      else dueTasks.set('silence', deadline)
    },
    renew: context => {
      if (host === undefined) return
      // Each request for a part renews the subscription; a plain subscribe would restart the transfer.
      if (!state.transfer.isActive()) sendSubscribe(host, context)
      dueTasks.set('renew', context.now + RENEW_INTERVAL_MS)
    },
    tryBetterCandidate: context => {
      if (trialHost !== undefined && trialHost !== host) sendSettings(state, trialHost, { kind: 'settings.leave' }, context)
      trialHost = state.transfer.isActive() ? undefined : chooseTrialHost()
      if (trialHost !== undefined) sendSubscribe(trialHost, context)
      dueTasks.set('trial', context.now + TRIAL_INTERVAL_MS)
    }
  }
}
