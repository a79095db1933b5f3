/** Order of adapter loads, the share of starved adapters, and backoff after failed loads. */
export * from './chooseLoad.ts'
export * from './loadBackoff.ts'
export * from './rankWaitingLoads.ts'
export * from './starvedAdapters.ts'
