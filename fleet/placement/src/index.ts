/** Places base models and adapters on engines. Runs on core hosts; only the leader acts. */
export * from './constants.ts'
export { createPlacement } from './placement.ts'
export type { OrderCall, Placement, PlacementOptions } from './placement.ts'
