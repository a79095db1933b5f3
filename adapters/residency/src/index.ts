/** Adapter slots of an engine, and the choice of the adapter to evict. */
export * from './slots.ts'
export * from './chooseEviction.ts'
