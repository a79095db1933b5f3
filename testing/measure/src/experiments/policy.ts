/**
 * Experiment: load stalls and batch fill of catkinferry, compared with baseline routing policies and with a lower bound
 * on loads. Runs on virtual time; every policy gets the same workload.
 */
import type { Experiment, ExperimentOptions, ExperimentResults } from '../experiment.ts'
import { BASELINE_POLICIES, runBaseline } from '../policy/baselines.ts'
import { computeBound } from '../policy/bound.ts'
import { DEPLOYMENTS } from '../policy/deployments.ts'
import type { Deployment } from '../policy/deployments.ts'
import type { PolicyResults } from '../policy/results.ts'
import { runCatkinferry } from '../policy/runCatkinferry.ts'
import { buildWorkload } from '../policy/workload.ts'

const DEFAULT_ZIPF = 1.2
const ROUNDING_FACTOR = 1_000

function computeRatio (value: number, reference: number | undefined): number {
  return Math.round(value / Math.max(1e-9, reference ?? 0) * ROUNDING_FACTOR) / ROUNDING_FACTOR
}

function computeRatios (rows: Readonly<Record<string, Partial<PolicyResults>>>, catkinferry: PolicyResults): ExperimentResults {
  const { leastLoaded, residentFirst, bound } = rows
  const refusedShares = Object.entries(rows).filter(([name]) => name in BASELINE_POLICIES).map(([, row]) => row.refusedShare ?? 0)
  return {
    stallToLeastLoaded: computeRatio(catkinferry.stallMsTotal, leastLoaded?.stallMsTotal),
    stallToResidentFirst: computeRatio(catkinferry.stallMsTotal, residentFirst?.stallMsTotal),
    batchFillToLeastLoaded: computeRatio(catkinferry.batchFill, leastLoaded?.batchFill),
    loadsToBound: computeRatio(catkinferry.loads, bound?.loads),
    refusedShareOverLowest: Math.round((catkinferry.refusedShare - Math.min(...refusedShares)) * ROUNDING_FACTOR) / ROUNDING_FACTOR
  }
}

function measureDeployment (deployment: Deployment, opts: { readonly seed: number, readonly zipf: number }): ExperimentResults {
  const { seed, zipf } = opts
  const workload = buildWorkload({ deployment, seed, zipf })
  const baselines = Object.fromEntries(Object.entries(BASELINE_POLICIES).map(([name, choose]) => [name, runBaseline({ deployment, workload, choose, seed })]))
  const catkinferry = runCatkinferry({ deployment, workload, seed })
  const rows = { ...baselines, catkinferry, bound: computeBound(deployment, workload) }
  const { name: deploymentName, requestsPerSecond, adapters } = deployment
  return { deployment: deploymentName, zipf, requestsPerSecond, adapters, requests: workload.arrivals.length, rows, ratios: computeRatios(rows, catkinferry) }
}

/** Returns the results of the deployment given by `--deployment`; without it, those of each deployment under its name. */
async function run ({ seed, flags }: ExperimentOptions): Promise<ExperimentResults> {
  const zipf = Number(flags.zipf ?? DEFAULT_ZIPF)
  const chosen = flags.deployment
  const rate = flags.requestsPerSecond === undefined ? {} : { requestsPerSecond: Number(flags.requestsPerSecond) }
  if (chosen !== undefined) {
    const deployment = DEPLOYMENTS[chosen]
    if (deployment === undefined) throw new Error(`unknown deployment '${chosen}'; known: ${Object.keys(DEPLOYMENTS).join(', ')}`)
    return measureDeployment({ ...deployment, ...rate }, { seed, zipf })
  }
  const results = Object.entries(DEPLOYMENTS).map(([name, deployment]) => [name, measureDeployment({ ...deployment, ...rate }, { seed, zipf })])
  return Object.fromEntries(results)
}

export const policyExperiment: Experiment = {
  name: 'policy',
  description: 'load stalls and batch fill against baselines [--deployment tescil|aqaba] [--zipf S]',
  targets: [
    { key: 'aqaba.ratios.stallToLeastLoaded', bound: 'atMost', value: 0.25, unit: 'ratio' },
    { key: 'aqaba.ratios.stallToResidentFirst', bound: 'atMost', value: 0.5, unit: 'ratio' },
    { key: 'aqaba.ratios.loadsToBound', bound: 'atMost', value: 1.5, unit: 'ratio' },
    { key: 'aqaba.ratios.refusedShareOverLowest', bound: 'atMost', value: 0, unit: 'share' },
    { key: 'tescil.ratios.batchFillToLeastLoaded', bound: 'atLeast', value: 1.5, unit: 'ratio' },
    { key: 'tescil.ratios.stallToResidentFirst', bound: 'atMost', value: 1, unit: 'ratio' },
    { key: 'tescil.ratios.loadsToBound', bound: 'atMost', value: 1.5, unit: 'ratio' },
    { key: 'tescil.ratios.refusedShareOverLowest', bound: 'atMost', value: 0, unit: 'share' }
  ],
  run
}
