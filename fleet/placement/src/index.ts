/** Places base models and adapters on engines, by the leader only. */
export * from './constants.ts'
export { createPlacement } from './placement.ts'
export type { OrderCall, Placement, PlacementOptions } from './placement.ts'
