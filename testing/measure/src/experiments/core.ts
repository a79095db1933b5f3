/** Decisions a second on one core, and how their cost grows with the number of adapters. */
import { runDecisions } from '../decisions/bench.ts'
import type { BenchFigures } from '../decisions/bench.ts'
import type { Experiment, ExperimentOptions, Figures } from '../experiment.ts'

const FEW_ADAPTERS = 3_000
const MANY_ADAPTERS = 120_000
/** Engines of one pool in one zone: 6,400 replicas over 16 zones and 5 models. */
const ENDPOINTS = 80
const REQUESTS = 60_000
const ROUNDS = 5
const MICROS_PER_SECOND = 1_000_000

function getMedian (figures: readonly BenchFigures[], pick: (figures: BenchFigures) => number): number {
  const sorted = figures.map(pick).sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

/** Alternates the sizes, so that both see the same machine. */
async function run ({ seed }: ExperimentOptions): Promise<Figures> {
  const few: BenchFigures[] = []
  const many: BenchFigures[] = []
  runDecisions({ adapters: FEW_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed })
  for (let round = 0; round < ROUNDS; round += 1) {
    few.push(runDecisions({ adapters: FEW_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed }))
    many.push(runDecisions({ adapters: MANY_ADAPTERS, endpoints: ENDPOINTS, requests: REQUESTS, seed }))
  }
  const decisionMicros = getMedian(many, figures => figures.decisionMicros)
  const requestMicros = getMedian(many, figures => figures.requestMicros)
  return {
    decisionsPerSecond: Math.round(MICROS_PER_SECOND / decisionMicros),
    costRatio: Math.round(requestMicros / getMedian(few, figures => figures.requestMicros) * 100) / 100,
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
