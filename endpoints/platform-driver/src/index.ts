/** Driver that reads the platform's list of endpoints and hosts. */
export * from './platformDriver.ts'
