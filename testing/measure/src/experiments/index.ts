/** Lookup table of experiments by name. */
import type { Experiment } from '../experiment.ts'
import { memory } from './memory.ts'

export const experiments: Readonly<Record<string, Experiment>> = {
  memory
}
