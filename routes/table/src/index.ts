/** Validates route tables and matches requests to routes. */
export { checkRouteTable } from './checkRouteTable.ts'
export { createRouteMatcher, choosePool } from './routeMatcher.ts'
export type { RouteMatcher } from './routeMatcher.ts'
export { applyRouteChanges, computeRouteChanges, packRouteTable, unpackRouteTable } from './routeChanges.ts'
