/** The platform list over HTTP, or from the settings file. */
export * from './platformDriver.ts'
