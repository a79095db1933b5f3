/** Order of adapter loads, and back-off after failed ones. */
export * from './chooseLoad.ts'
export * from './loadBackoff.ts'
