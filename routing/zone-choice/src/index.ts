/** Decides when requests leave their zone, and how many. */
export { createLinkMeter } from './linkMeter.ts'
export type { LinkMeter } from './linkMeter.ts'
export { MAX_FIGURES_AGE_MS } from './constants.ts'
export { computeTransferCost, getConstantCost } from './transferCost.ts'
export { PlanMode } from './types.ts'
export type { CostRequest, TransferBytes, ZoneChoice, ZoneCosts, ZoneFigures, ZoneLocation, ZoneUpdate } from './types.ts'
export { createZoneChoice } from './zoneChoice.ts'
