/** Renders the operators' page of all settings keys. */
import type { KeyRow } from './keyRow.ts'
import { listKeys } from './keys.ts'
import { TREE_LEVELS, TreeName } from './paths.ts'

const TITLES = { [TreeName.FLEET]: 'Fleet keys', [TreeName.MODELS]: 'Models keys' } as const

function formatDefault (row: KeyRow): string {
  return row.defaultValue === undefined ? '' : `\`${JSON.stringify(row.defaultValue)}\``
}

function formatLevels (row: KeyRow): string {
  const [first, ...rest] = row.levels
  const last = rest.at(-1)
  return last === undefined ? `${first}` : `${first} to ${last}`
}

function renderRow (row: KeyRow): string {
  const cells = [`\`${row.key}\``, formatDefault(row), row.unit, row.rule.replaceAll('|', '\\|'), formatLevels(row), row.description]
  return `| ${cells.join(' | ')} |`
}

function renderTree (tree: TreeName): string[] {
  return [
    `## ${TITLES[tree]}`,
    '',
    `Path: \`${TREE_LEVELS[tree].map((level, index) => index === 0 ? level : `<${level}>`).join('/')}\`.`,
    '',
    '| key | default | unit | value | set at | meaning |',
    '| --- | --- | --- | --- | --- | --- |',
    ...listKeys().filter(row => row.tree === tree).map(renderRow),
    ''
  ]
}

/** Renders the page as Markdown. */
export function renderSettingsPage (): string {
  const lines = [
    '# Settings keys',
    '',
    'Printed from `settings/schema` by `npm run docs:settings`; edit the schema, not this page. A key set at a node holds for every node below it that does not set it again. How to change settings: [operators/settings.md](operators/settings.md).',
    '',
    ...Object.values(TreeName).flatMap(renderTree)
  ]
  return `${lines.join('\n').trimEnd()}\n`
}
