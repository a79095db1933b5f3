/** Load stalls and batch fill of the real systems against baselines and a bound, on virtual time. */
import type { Experiment, ExperimentOptions, Figures } from '../experiment.ts'
import { CHOICES, runBaseline } from '../policy/baselines.ts'
import { computeBound } from '../policy/bound.ts'
import { DEPLOYMENTS } from '../policy/deployments.ts'
import type { Deployment } from '../policy/deployments.ts'
import type { RowFigures } from '../policy/figures.ts'
import { runOurs } from '../policy/ourRow.ts'
import { buildWorkload } from '../policy/workload.ts'

const DEFAULT_ZIPF = 1.2
const DECIMALS = 1_000

function computeRatio (ours: number, other: number | undefined): number {
  return Math.round(ours / Math.max(1e-9, other ?? 0) * DECIMALS) / DECIMALS
}

function describeRatios (rows: Readonly<Record<string, Partial<RowFigures>>>, ours: RowFigures): Figures {
  const { leastLoaded, residentFirst, bound } = rows
  const refusals = Object.entries(rows).filter(([name]) => name in CHOICES).map(([, row]) => row.refusedShare ?? 0)
  return {
    stallToLeastLoaded: computeRatio(ours.stallMsTotal, leastLoaded?.stallMsTotal),
    stallToResidentFirst: computeRatio(ours.stallMsTotal, residentFirst?.stallMsTotal),
    batchFillToLeastLoaded: computeRatio(ours.batchFill, leastLoaded?.batchFill),
    loadsToBound: computeRatio(ours.loads, bound?.loads),
    refusedShareOverLowest: Math.round((ours.refusedShare - Math.min(...refusals)) * DECIMALS) / DECIMALS
  }
}

function measureDeployment (deployment: Deployment, opts: { readonly seed: number, readonly zipf: number }): Figures {
  const { seed, zipf } = opts
  const workload = buildWorkload({ deployment, seed, zipf })
  const baselines = Object.fromEntries(Object.entries(CHOICES).map(([name, choose]) => [name, runBaseline({ deployment, workload, choose, seed })]))
  const catkinferry = runOurs({ deployment, workload, seed })
  const rows = { ...baselines, catkinferry, bound: computeBound(deployment, workload) }
  const { name: deploymentName, requestsPerSecond, adapters } = deployment
  return { deployment: deploymentName, zipf, requestsPerSecond, adapters, requests: workload.arrivals.length, rows, ratios: describeRatios(rows, catkinferry) }
}

/** Rows of the chosen deployment at the top level; without `--deployment`, of both under their names. */
async function run ({ seed, flags }: ExperimentOptions): Promise<Figures> {
  const zipf = Number(flags.zipf ?? DEFAULT_ZIPF)
  const chosen = flags.deployment
  const rate = flags.requestsPerSecond === undefined ? {} : { requestsPerSecond: Number(flags.requestsPerSecond) }
  if (chosen !== undefined) {
    const deployment = DEPLOYMENTS[chosen]
    if (deployment === undefined) throw new Error(`unknown deployment '${chosen}'; known: ${Object.keys(DEPLOYMENTS).join(', ')}`)
    return measureDeployment({ ...deployment, ...rate }, { seed, zipf })
  }
  const all = Object.entries(DEPLOYMENTS).map(([name, deployment]) => [name, measureDeployment({ ...deployment, ...rate }, { seed, zipf })])
  return Object.fromEntries(all)
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
