/** catkinferryd, the daemon of a host: its event loop and the I/O around the host core. */
export * from './attemptRegister.ts'
export * from './daemon.ts'
export * from './disk.ts'
export * from './links.ts'
export * from './shell.ts'
export * from './startHost.ts'
