/** Hosts and endpoints from the platform list and heartbeats. */
export * from './platformTable.ts'
export * from './zoneTable.ts'
export * from './zoneDigests.ts'
