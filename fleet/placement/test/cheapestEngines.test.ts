import { createRandom } from '@catkinferry/core.random'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { chooseEngine, createCheapestEngines } from '../src/chooseEngine.ts'
import type { EngineCostOptions, OpenEngine } from '../src/chooseEngine.ts'
import { createEngineState } from '../src/engineState.ts'

const MODEL = 'm'
const ENGINES = 40
const LOADS = 64
/** Loads that are compared for the next engine. */
const COMPARED = 12

interface Load {
  readonly options: EngineCostOptions
}

function createOpen (random: ReturnType<typeof createRandom>): OpenEngine[] {
  return Array.from({ length: ENGINES }, (_, index) => {
    const listed = { endpoint: `e${index}`, bornAt: 1, pool: 'p', zone: `z${index % 4}`, address: '10.0.0.1:1', leaving: false, models: [{ model: MODEL, adapters: [] }] }
    return { engine: createEngineState(listed, 0), victim: undefined, victimRate: random.nextFraction(), loading: random.nextInt(0, 3) }
  })
}

function createLoads (random: ReturnType<typeof createRandom>, onCompared: () => void): Load[] {
  return Array.from({ length: LOADS }, (_, index) => {
    const avoided = `e${random.nextInt(0, ENGINES - 1)}`
    const isAvoided = ({ endpoint }: { readonly endpoint: string }): boolean => {
      onCompared()
      return endpoint === avoided
    }
    return {
      options: {
        requirements: { model: MODEL, adapter: `a${index}`, version: 1, zone: `z${index % 4}`, region: 'r', isAvoided, waiting: 1 },
        pool: { batchLimit: 8, weightsMb: 100, adapterPlaces: 4, modelLoadsPerSecond: 2, models: [] },
        getRate: () => 0,
        getRegion: () => 'r',
        getRunning: () => 0
      }
    }
  })
}

/**
 * Guards against a leader whose event loop is late because it compares all engines for each of the first pending loads anew whenever
 * a load is begun or passed over: 0.1 s and more a run with 64 pending loads, so that it read the responses of engines too late.
 */
describe('the cheapest engines for pending loads', () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    it(`are those that a comparison of all that are left chooses (seed ${seed})`, () => {
      const random = createRandom(seed)
      let left = createOpen(random)
      const loads = createLoads(random, () => undefined)
      const engines = createCheapestEngines(left, ({ options }: Load) => options)
      const differing: number[] = []
      for (let step = 0; !engines.isEmpty(); step += 1) {
        for (const load of loads.slice(step, step + COMPARED)) {
          const expected = chooseEngine(left, load.options)
          const actual = engines.find(load)
          if (actual?.choice.engine !== expected?.choice.engine || actual?.costMs !== expected?.costMs) differing.push(step)
        }
        const removed = left[random.nextInt(0, left.length - 1)]
        if (removed === undefined) break
        left = left.filter(other => other !== removed)
        engines.remove(removed.engine)
      }
      expect([differing, left]).toEqual([[], []])
    })
  }

  it('are looked for once for each load while no engine is taken', () => {
    const random = createRandom(1)
    let compared = 0
    const loads = createLoads(random, () => { compared += 1 })
    const engines = createCheapestEngines(createOpen(random), ({ options }: Load) => options)
    for (let index = 0; index < LOADS; index += 1) for (const load of loads.slice(index, index + COMPARED)) engines.find(load)
    expect(compared).toEqual(LOADS * ENGINES)
  })
})
