/** catkinferryd: the daemon of an entry host. */
export * from './attemptRegister.ts'
export * from './daemon.ts'
export * from './disk.ts'
export * from './links.ts'
export * from './shell.ts'
export * from './startHost.ts'
