/** Simulated fleet that forms from seeds, in memory on virtual time, and the commands of an operator. */
export { measureAcknowledgements } from './acknowledgements.ts'
export type { AcknowledgementOptions, OrderTimes } from './acknowledgements.ts'
export { buildTable, CORES, createSimulatedFleet, REVOCATION_MS } from './simulatedFleet.ts'
export type { SimulatedFleet } from './simulatedFleet.ts'
export type { SimulatedFleetOptions } from './simulatedHost.ts'
