/** Slopes of each role's control messages and processor time over zone size, load and rate of changes. */
import type { Experiment, Figures } from '../experiment.ts'
import { measureControl } from '../capacity/measureControl.ts'
import type { ControlFigures, ControlLoad } from '../capacity/measureControl.ts'
import { fitLine } from '../capacity/fitLine.ts'

const IDLE_SIZES = [4, 8, 16, 32] as const
const REQUEST_RATES = [0, 2, 4, 8] as const
const CHANGE_RATES = [0, 1, 2, 4] as const
const LOADED_SIZES = [4, 8, 16] as const
const LOADED_RATE = 4
const ZONE_COUNTS = [1, 2, 4] as const
const ENGINES_PER_HOST = 2

/** Figures of the target size, per node or zone. */
const TARGET = { hostsPerZone: 35, zones: 16, requestsPerHostPerSecond: 22_000 / 560, changesPerSecond: 4_600 / 86_400, enginesPerHost: 6_400 / 560 } as const

const BASE: ControlLoad = { zones: 1, hostsPerZone: 8, enginesPerHost: ENGINES_PER_HOST, requestsPerHostPerSecond: 0, changesPerSecond: 0, adapters: 24 }

/** One zone as it would be at the target size; engines and adapters are stand-ins on virtual time. */
const TARGET_ZONE: ControlLoad = { zones: 1, hostsPerZone: 35, enginesPerHost: 11, requestsPerHostPerSecond: 39, changesPerSecond: 0.1, adapters: 300 }

type Key = keyof ControlFigures

function fit (points: ReadonlyArray<readonly [number, ControlFigures]>, key: Key): { readonly slope: number, readonly intercept: number } {
  return fitLine(points.map(([x, figures]) => [x, figures[key]]))
}

function listFits (points: ReadonlyArray<readonly [number, ControlFigures]>): Readonly<Record<string, unknown>> {
  const keys = Object.keys(points[0]?.[1] ?? {}) as Key[]
  return Object.fromEntries(keys.map(key => [key, fit(points, key)]))
}

function measureSeries<Value extends number> (values: readonly Value[], seed: number, change: (value: Value) => Partial<ControlLoad>): Array<readonly [number, ControlFigures]> {
  return values.map(value => [value, measureControl({ seed, load: { ...BASE, ...change(value) } })] as const)
}

function run (seed: number): Figures {
  const byHosts = measureSeries(IDLE_SIZES, seed, hostsPerZone => ({ hostsPerZone }))
  const byEngines = measureSeries([1, 2, 4, 8], seed, enginesPerHost => ({ enginesPerHost }))
  const byRequests = measureSeries(REQUEST_RATES, seed, requestsPerHostPerSecond => ({ requestsPerHostPerSecond }))
  const byChanges = measureSeries(CHANGE_RATES, seed, changesPerSecond => ({ changesPerSecond }))
  const byHostsUnderLoad = measureSeries(LOADED_SIZES, seed, hostsPerZone => ({ hostsPerZone, requestsPerHostPerSecond: LOADED_RATE }))
  const byZones = measureSeries(ZONE_COUNTS, seed, zones => ({ zones, hostsPerZone: 4 }))
  const zoneOfTargetSize = measureControl({ seed, load: TARGET_ZONE })
  return {
    target: TARGET,
    zoneOfTargetSize: { load: TARGET_ZONE, figures: zoneOfTargetSize },
    base: BASE,
    points: {
      hostsPerZone: Object.fromEntries(byHosts),
      enginesPerHost: Object.fromEntries(byEngines),
      requestsPerHostPerSecond: Object.fromEntries(byRequests),
      changesPerSecond: Object.fromEntries(byChanges),
      hostsPerZoneUnderLoad: Object.fromEntries(byHostsUnderLoad),
      zones: Object.fromEntries(byZones)
    },
    slopes: {
      perHostInZone: listFits(byHosts),
      perEngineOfHost: listFits(byEngines),
      perRequestPerSecondOfHost: listFits(byRequests),
      perChangePerSecond: listFits(byChanges),
      perHostInZoneUnderLoad: listFits(byHostsUnderLoad),
      perZone: listFits(byZones)
    }
  }
}

export const capacity: Experiment = {
  name: 'capacity',
  description: 'control messages and processor time of each role over zone size, load and changes',
  targets: [
    { key: 'zoneOfTargetSize.figures.meanBytesPerHost', bound: 'atMost', value: 9_000, unit: 'B/s' },
    { key: 'zoneOfTargetSize.figures.holderBytes', bound: 'atMost', value: 9_000, unit: 'B/s' },
    { key: 'zoneOfTargetSize.figures.meanCpuMsPerHost', bound: 'atMost', value: 10, unit: 'ms/s' }
  ],
  run: async ({ seed }) => run(seed)
}
