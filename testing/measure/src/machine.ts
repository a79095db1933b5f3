/** Facts about the machine that a figure was measured on. */
import { cpus, totalmem } from 'node:os'

export interface MachineFacts {
  readonly cores: number
  readonly cpu: string
  readonly memoryGb: number
  readonly node: string
}

/** Reads the facts of this machine. */
export function getMachineFacts (): MachineFacts {
  const all = cpus()
  return {
    cores: all.length,
    cpu: all[0]?.model ?? 'unknown',
    memoryGb: Math.round(totalmem() / 2 ** 30),
    node: process.version
  }
}
