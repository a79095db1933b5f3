/** Driver for model engines over HTTP. */
export * from './engineDriver.ts'
