/** Places base models and adapters on engines, from one holder at a time. */
export * from './constants.ts'
export { createPlacement } from './placement.ts'
export type { OrderCall, Placement, PlacementOptions } from './placement.ts'
