/** Prints figures for people, with the targets beside them. */
import type { Experiment, Figures, Target } from './experiment.ts'

/** Finds a figure by a path with dots. */
export function findFigure (figures: Figures, path: string): unknown {
  let value: unknown = figures
  for (const key of path.split('.')) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<string, unknown>)[key]
  }
  return value
}

function isMet (target: Target, figure: unknown): boolean {
  if (typeof figure !== 'number') return false
  return target.bound === 'atLeast' ? figure >= target.value : figure <= target.value
}

function formatTarget (target: Target, figures: Figures): string {
  const figure = findFigure(figures, target.key)
  const sign = target.bound === 'atLeast' ? '>=' : '<='
  const verdict = isMet(target, figure) ? 'met' : 'missed'
  return `${target.key.padEnd(44)} ${String(figure).padStart(14)}  target ${sign} ${target.value} ${target.unit}  ${verdict}`
}

/** Renders all figures and targets as text. */
export function renderFigures (experiment: Experiment, figures: Figures): string {
  const lines = [`${experiment.name}: ${experiment.description}`, '']
  lines.push(...experiment.targets.map(target => formatTarget(target, figures)))
  lines.push('', JSON.stringify(figures, null, 2))
  return lines.join('\n')
}
