/** Lookup table of experiments by name. */
import type { Experiment } from '../experiment.ts'

export const experiments: Readonly<Record<string, Experiment>> = {
}
