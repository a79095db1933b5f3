/** Plain service calls over HTTP. */
export * from './serviceDriver.ts'
