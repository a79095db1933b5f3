/** Durable storage of one voter: append-only log segments, hard state and snapshots. */
export { openDurableLog } from './durableLog.ts'
export type { DurableLog, DurableLogOptions } from './durableLog.ts'
export { openWhenWritable } from './openWhenWritable.ts'
export type { OpenWhenWritableOptions } from './openWhenWritable.ts'
export { createFileOperations } from './fileOperations.ts'
export type { AppendFile, FileOperations } from './fileOperations.ts'
