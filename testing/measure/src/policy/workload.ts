/** Workload of the policy experiment: arrivals with a Zipf popularity of adapters that shifts once, and injected faults. */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { DurationMs, MonotonicMs, ServiceClass, ZoneId } from '@catkinferry/core.types'
import type { Deployment } from './deployments.ts'
import { DEADLINES_MS } from './deployments.ts'

export const WARM_UP_MS = 30_000
const MEASURED_MS = 360_000
export const ARRIVALS_END_MS = WARM_UP_MS + MEASURED_MS
/** End of the simulated run. Requests that are still waiting then count as refused. */
export const RUN_END_MS = ARRIVALS_END_MS + 60_000
const POPULARITY_SHIFT_AT_MS = WARM_UP_MS + MEASURED_MS / 2
const MS_PER_SECOND = 1_000
const MIN_TOKENS = 20
const PROMPT_BYTES = 1_200

export interface Arrival {
  readonly requestId: string
  readonly at: MonotonicMs
  readonly zone: ZoneId
  readonly adapter: string
  readonly serviceClass: ServiceClass
  readonly deadlineMs: DurationMs
  readonly tokens: number
  readonly promptBytes: number
  /** Random number that picks the entry host, in place of the load balancer. */
  readonly hostPick: number
}

export interface Faults {
  /** `engine` is an index into the list of all engines. */
  readonly restarts: readonly { readonly at: MonotonicMs, readonly engine: number }[]
  readonly partition: { readonly zone: ZoneId, readonly from: MonotonicMs, readonly until: MonotonicMs }
}

export interface Workload {
  readonly arrivals: readonly Arrival[]
  readonly faults: Faults
}

function buildCumulativeWeights (count: number, exponent: number): number[] {
  const cumulativeWeights: number[] = []
  let total = 0
  for (let rank = 1; rank <= count; rank += 1) {
    total += rank ** -exponent
    cumulativeWeights.push(total)
  }
  return cumulativeWeights
}

function pickRank (cumulativeWeights: readonly number[], random: Random): number {
  const target = random.nextFraction() * (cumulativeWeights.at(-1) ?? 0)
  let low = 0
  let high = cumulativeWeights.length - 1
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((cumulativeWeights[middle] ?? 0) > target) high = middle
    else low = middle + 1
  }
  return low
}

function shuffle (count: number, random: Random): number[] {
  const order = Array.from({ length: count }, (_, index) => index)
  for (let index = count - 1; index > 0; index -= 1) {
    const other = random.nextInt(0, index)
    const swapped = order[index] ?? 0
    order[index] = order[other] ?? 0
    order[other] = swapped
  }
  return order
}

function pickClass (deployment: Deployment, random: Random): ServiceClass {
  const { urgent, standard } = deployment.classShares
  const target = random.nextFraction()
  if (target < urgent) return 'urgent'
  return target < urgent + standard ? 'standard' : 'overnight'
}

function pickZone (deployment: Deployment, random: Random): ZoneId {
  const total = deployment.zones.reduce((sum, { engines }) => sum + engines, 0)
  let target = random.nextInt(0, total - 1)
  for (const { zone, engines } of deployment.zones) {
    if (target < engines) return zone
    target -= engines
  }
  return deployment.zones[0]?.zone ?? ''
}

function sampleExponential (mean: number, random: Random): number {
  return -Math.log(1 - random.nextFraction()) * mean
}

/** Builds the arrivals and faults that every policy runs with. */
export function buildWorkload (opts: { readonly deployment: Deployment, readonly seed: number, readonly zipf: number }): Workload {
  const { deployment, seed, zipf } = opts
  const random = createRandom(seed)
  const cumulativeWeights = buildCumulativeWeights(deployment.adapters, zipf)
  const before = shuffle(deployment.adapters, random)
  const after = shuffle(deployment.adapters, random)
  const arrivals: Arrival[] = []
  let at = 0
  for (;;) {
    at += sampleExponential(MS_PER_SECOND / deployment.requestsPerSecond, random)
    if (at >= ARRIVALS_END_MS) break
    const order = at < POPULARITY_SHIFT_AT_MS ? before : after
    const serviceClass = pickClass(deployment, random)
    arrivals.push({
      requestId: `r${arrivals.length}`,
      at,
      zone: pickZone(deployment, random),
      adapter: `a${order[pickRank(cumulativeWeights, random)] ?? 0}`,
      serviceClass,
      deadlineMs: DEADLINES_MS[serviceClass],
      tokens: MIN_TOKENS + Math.round(sampleExponential(deployment.meanTokens - MIN_TOKENS, random)),
      promptBytes: PROMPT_BYTES,
      hostPick: random.nextInt(0, 1_000)
    })
  }
  return { arrivals, faults: buildFaults(deployment) }
}

function buildFaults (deployment: Deployment): Faults {
  const engines = deployment.zones.reduce((sum, zone) => sum + zone.engines, 0)
  return {
    restarts: [
      { at: WARM_UP_MS + MEASURED_MS / 4, engine: 0 },
      { at: WARM_UP_MS + MEASURED_MS * 3 / 4, engine: engines - 1 }
    ],
    partition: { zone: deployment.zones.at(-1)?.zone ?? '', from: WARM_UP_MS + MEASURED_MS * 0.6, until: WARM_UP_MS + MEASURED_MS * 0.6 + 60_000 }
  }
}
