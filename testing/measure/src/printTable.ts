/** Renders the results of an experiment as text: each target with its verdict, then all results. */
import type { Experiment, ExperimentResults, Target } from './experiment.ts'

/** Finds a result by a dot-separated path. */
export function findResult (results: ExperimentResults, path: string): unknown {
  let value: unknown = results
  for (const key of path.split('.')) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<string, unknown>)[key]
  }
  return value
}

function isMet (target: Target, result: unknown): boolean {
  if (typeof result !== 'number') return false
  return target.bound === 'atLeast' ? result >= target.value : result <= target.value
}

function formatTarget (target: Target, results: ExperimentResults): string {
  const result = findResult(results, target.key)
  const sign = target.bound === 'atLeast' ? '>=' : '<='
  const verdict = isMet(target, result) ? 'met' : 'missed'
  return `${target.key.padEnd(44)} ${String(result).padStart(14)}  target ${sign} ${target.value} ${target.unit}  ${verdict}`
}

export function renderResults (experiment: Experiment, results: ExperimentResults): string {
  const lines = [`${experiment.name}: ${experiment.description}`, '']
  lines.push(...experiment.targets.map(target => formatTarget(target, results)))
  lines.push('', JSON.stringify(results, null, 2))
  return lines.join('\n')
}
