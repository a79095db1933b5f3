/** Order, sharing, back-off and prefetch of loads. */
export * from './chooseLoad.ts'
export * from './loadBackoff.ts'
