/** Tables of a zone's hosts, endpoints and endpoint states, and of the digests of other zones. */
export * from './platformTable.ts'
export * from './zoneTable.ts'
export * from './zoneDigests.ts'
