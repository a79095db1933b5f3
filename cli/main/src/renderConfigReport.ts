/** Renders the report of `config check` as text, grouped for readers. */
import { FindingGroup } from '@catkinferry/routes.check'
import type { Effect } from '@catkinferry/routes.check'
import type { ConfigReport, ReportDifference, ReportRow, Verdict } from './configReport.ts'

/** Rows shown of each group; `--json` lists all. */
const MAX_ROWS = 50

const GROUP_TITLES: Readonly<Record<FindingGroup, string>> = {
  [FindingGroup.UNUSED]: 'entries that can never match or have no effect',
  [FindingGroup.CONTRADICTION]: 'limits that contradict each other'
}

const SUMMARIES: Readonly<Record<Verdict, string>> = {
  clean: 'nothing was found',
  warnings: 'the fleet accepts it, but see the warnings',
  errors: 'the fleet refuses it'
}

function renderGroup<Row> (title: string, rows: readonly Row[], render: (row: Row) => string[]): string[] {
  if (rows.length === 0) return []
  const shown = rows.slice(0, MAX_ROWS)
  const rest = rows.length - shown.length
  return ['', `${title} (${rows.length}):`, ...shown.flatMap(render), ...(rest === 0 ? [] : [`  and ${rest} more; --json lists all`])]
}

function renderRow (file: string, { line, column, path, message, hint, code }: ReportRow): string[] {
  return [`  ${file}:${line}:${column}  ${path === '' ? '' : `${path}: `}${message} [${code}]`, `      ${hint}`]
}

function renderEffect ({ code, text, isWarning }: Effect): string {
  return `      ${isWarning ? 'warning: ' : ''}${text} [${code}]`
}

function formatValue (value: unknown): string {
  return value === undefined ? 'none' : typeof value === 'string' ? value : JSON.stringify(value)
}

function renderDifference (file: string, { kind, change, name, line, column, fields, effects }: ReportDifference): string[] {
  const place = line === undefined ? '' : `  (${file}:${line}:${column})`
  return [`  ${kind} ${name} ${change}${place}`, ...fields.map(({ field, before, after }) => `      ${field}: ${formatValue(before)} -> ${formatValue(after)}`), ...effects.map(renderEffect)]
}

function hasWarning ({ effects }: ReportDifference): boolean {
  return effects.some(({ isWarning }) => isWarning)
}

function renderDifferences ({ file, differences }: ConfigReport): string[] {
  if (differences === undefined) return []
  const { against, fromVersion, toVersion, items, effects } = differences
  const header = ['', `differences from ${against} (version ${fromVersion} -> ${toVersion}):${items.length === 0 ? ' none' : ''}`]
  const render = (item: ReportDifference): string[] => renderDifference(file, item)
  return [
    ...header,
    ...effects.map(renderEffect),
    ...renderGroup('callers lose something, or requests are let in that were refused', items.filter(hasWarning), render),
    ...renderGroup('other differences', items.filter(item => !hasWarning(item)), render)
  ]
}

export function renderConfigReport (report: ConfigReport): string {
  const { file, verdict, version, errors, warnings } = report
  const render = (row: ReportRow): string[] => renderRow(file, row)
  const groups = Object.values(FindingGroup).flatMap(group => renderGroup(GROUP_TITLES[group], warnings.filter(row => row.group === group), render))
  return [
    `${file}${version === undefined ? '' : `, version ${version}`}: ${SUMMARIES[verdict]}`,
    ...renderGroup('errors', errors, render),
    ...groups,
    ...renderDifferences(report)
  ].join('\n')
}
