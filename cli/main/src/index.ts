/** The operator command line `catkinferry` and its development host. */
export * from './commands/index.ts'
export * from './dev.ts'
export * from './exitCode.ts'
export * from './flags.ts'
export * from './runCli.ts'
