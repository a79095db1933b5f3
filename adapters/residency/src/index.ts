/** Slots of an endpoint and the choice of what to evict. */
export * from './slots.ts'
export * from './chooseEviction.ts'
