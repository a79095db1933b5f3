/** Experiment: routing decisions per second on one core, and how the cost of a request grows with the number of adapters. */
import { runDecisions } from '../decisions/bench.ts'
import type { BenchResults } from '../decisions/bench.ts'
import type { Experiment, ExperimentOptions, ExperimentResults } from '../experiment.ts'

const FEW_ADAPTERS = 3_000
const MANY_ADAPTERS = 120_000
/** Engines of one pool in one zone: 6,400 replicas over 16 zones and 5 models. */
const ENDPOINTS = 80
const REQUESTS = 60_000
const ROUNDS = 5
const MICROS_PER_SECOND = 1_000_000

function getMedian (results: readonly BenchResults[], pick: (results: BenchResults) => number): number {
  const sorted = results.map(pick).sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

/** Alternates the two sizes, so that other load on the machine affects both alike. */
async function run ({ seed }: ExperimentOptions): Promise<ExperimentResults> {
  const few: BenchResults[] = []
  const many: BenchResults[] = []
  runDecisions({ adapters: FEW_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed })
  for (let round = 0; round < ROUNDS; round += 1) {
    few.push(runDecisions({ adapters: FEW_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed }))
    many.push(runDecisions({ adapters: MANY_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed }))
  }
  const decisionMicros = getMedian(many, results => results.decisionMicros)
  const requestMicros = getMedian(many, results => results.requestMicros)
  return {
    decisionsPerSecond: Math.round(MICROS_PER_SECOND / decisionMicros),
    costRatio: Math.round(requestMicros / getMedian(few, results => results.requestMicros) * 100) / 100,
    requestsPerSecond: Math.round(MICROS_PER_SECOND / requestMicros),
    decisionMicros: Math.round(decisionMicros * 100) / 100,
    requestMicros: Math.round(requestMicros * 100) / 100,
    endpoints: ENDPOINTS,
    adapters: MANY_ADAPTERS
  }
}

export const core: Experiment = {
  name: 'core',
  description: 'decisions a second on one core, and cost by number of adapters',
  targets: [
    { key: 'decisionsPerSecond', bound: 'atLeast', value: 40_000, unit: 'per second' },
    { key: 'costRatio', bound: 'atMost', value: 1.3, unit: 'ratio' }
  ],
  run
}
