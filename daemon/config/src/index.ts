/** Loads and checks the settings file of a host. */
export * from './checkConfig.ts'
export * from './configSchema.ts'
export * from './loadConfig.ts'
