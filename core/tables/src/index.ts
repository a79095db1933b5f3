/** Data structures of the deterministic core: tables with dirty rows, due times and disposable stores. */
export * from './table.ts'
export * from './dueTimes.ts'
export * from './disposables.ts'
