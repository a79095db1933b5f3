/** Finds entries of a route table that have no effect or contradict each other, and what differs between two tables. */
export { compareRouteTables } from './compareTables.ts'
export type { ComparisonOptions } from './compareTables.ts'
export { EffectCode } from './effects.ts'
export type { Difference, Effect, FieldDifference, TableDifferences } from './effects.ts'
export type { HasKey } from './formatName.ts'
export { FindingCode, FindingGroup } from './findings.ts'
export type { Finding } from './findings.ts'
export { listFindings } from './listFindings.ts'
