/** Bounds the age of the route table by which an entry host checks keys. */
export * from './constants.ts'
export type { ClockReading } from './elapsedClock.ts'
export { createRouteConfirmation } from './routeConfirmation.ts'
export type { ConfirmedMessage, RouteConfirmation, RouteConfirmationOptions } from './routeConfirmation.ts'
export { createRouteConfirmer } from './routeConfirmer.ts'
export type { RouteConfirmer, RouteConfirmerOptions } from './routeConfirmer.ts'
