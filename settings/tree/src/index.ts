/** Inheriting settings trees: nodes, effective values, adapters, plans of changes. */
export * from './describeNode.ts'
export type { NodeValues } from './packValues.ts'
export * from './planChange.ts'
export type { SavedTree } from './saveTree.ts'
export * from './settingsTree.ts'
