/** Settings trees with inheritance: nodes, effective values, adapter resolution, change planning. */
export * from './describeNode.ts'
export type { NodeValues } from './packValues.ts'
export * from './planChange.ts'
export type { SavedTree } from './saveTree.ts'
export * from './settingsTree.ts'
