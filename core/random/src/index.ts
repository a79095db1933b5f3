/** Seeded random numbers. They are the only source of randomness in the deterministic core, so that its runs can be repeated. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export interface Random {
  /** Integer from `min` to `max`, both included. */
  readonly nextInt: (min: number, max: number) => number
  /** Number from 0 (included) to 1 (excluded). */
  readonly nextFraction: () => number
  readonly pick: <T>(items: readonly T[]) => T
}

const FRACTION_STEPS = 2 ** 30

/** Creates a generator; the same seed gives the same numbers. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const nextInt = (min: number, max: number): number => uniformInt(generator, min, max)
  return {
    nextInt,
    nextFraction: () => nextInt(0, FRACTION_STEPS - 1) / FRACTION_STEPS,
    pick: items => {
      if (items.length === 0) throw new RangeError('cannot pick from an empty list')
      return items[nextInt(0, items.length - 1)] as never
    }
  }
}
