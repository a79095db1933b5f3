/** Driver for plain services over HTTP. */
export * from './serviceDriver.ts'
