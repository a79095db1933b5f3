/** The operator command line `catkinferry` and its development host. */
export * from './commands/index.ts'
export * from './configReport.ts'
export * from './dev.ts'
export * from './exitCode.ts'
export * from './flags.ts'
export * from './renderConfigReport.ts'
export * from './runCli.ts'
