/** Describes the machine that an experiment runs on; printed with the results. */
import { cpus, totalmem } from 'node:os'

export interface MachineFacts {
  readonly cores: number
  readonly cpu: string
  /** GiB, rounded. */
  readonly memoryGb: number
  readonly node: string
}

export function getMachineFacts (): MachineFacts {
  const all = cpus()
  return {
    cores: all.length,
    cpu: all[0]?.model ?? 'unknown',
    memoryGb: Math.round(totalmem() / 2 ** 30),
    node: process.version
  }
}
