/** Model engine protocol over HTTP. */
export * from './engineDriver.ts'
