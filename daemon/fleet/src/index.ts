/** Hosts of a fleet that forms from seeds: entry hosts and core hosts. */
export { startCoreHost } from './coreHost.ts'
export type { CoreHost, CoreHostOptions, FleetPlatform } from './coreHost.ts'
export { startEntryHost } from './entryHost.ts'
export type { EntryHost, EntryHostOptions } from './entryHost.ts'
export type { FleetSettings, FleetTimes } from './fleetSettings.ts'
export { FLEET_METRICS, METRICS_PREFIX } from './fleetMetrics.ts'
export { openTextServer } from './textServer.ts'
