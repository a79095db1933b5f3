/**
 * Experiment: how the control traffic and CPU time of each role grow with zone size, engines per host, request rate,
 * settings changes and number of zones. Runs simulated deployments on virtual time and fits a line to each series.
 */
import type { Experiment, ExperimentResults } from '../experiment.ts'
import { measureControlPlane } from '../capacity/measureControlPlane.ts'
import type { ControlPlaneResults, DeploymentLoad } from '../capacity/measureControlPlane.ts'
import { fitLine } from '../capacity/fitLine.ts'

const IDLE_SIZES = [4, 8, 16, 32] as const
const REQUEST_RATES = [0, 2, 4, 8] as const
const CHANGE_RATES = [0, 1, 2, 4] as const
const LOADED_SIZES = [4, 8, 16] as const
const LOADED_RATE = 4
const ZONE_COUNTS = [1, 2, 4] as const
const ENGINES_PER_HOST = 2

/** Deployment of the target size: 560 hosts, 6,400 engines, 22,000 requests a second and 4,600 changes a day. */
const TARGET_DEPLOYMENT = { hostsPerZone: 35, zones: 16, requestsPerHostPerSecond: 22_000 / 560, changesPerSecond: 4_600 / 86_400, enginesPerHost: 6_400 / 560 } as const

const BASE_LOAD: DeploymentLoad = { zones: 1, hostsPerZone: 8, enginesPerHost: ENGINES_PER_HOST, requestsPerHostPerSecond: 0, changesPerSecond: 0, adapters: 24 }

/** One zone of the target deployment, simulated on virtual time. */
const TARGET_ZONE_LOAD: DeploymentLoad = { zones: 1, hostsPerZone: 35, enginesPerHost: 11, requestsPerHostPerSecond: 39, changesPerSecond: 0.1, adapters: 300 }

type ResultKey = keyof ControlPlaneResults

function fitResult (points: ReadonlyArray<readonly [number, ControlPlaneResults]>, key: ResultKey): { readonly slope: number, readonly intercept: number } {
  return fitLine(points.map(([x, results]) => [x, results[key]]))
}

function fitAllResults (points: ReadonlyArray<readonly [number, ControlPlaneResults]>): Readonly<Record<string, unknown>> {
  const keys = Object.keys(points[0]?.[1] ?? {}) as ResultKey[]
  return Object.fromEntries(keys.map(key => [key, fitResult(points, key)]))
}

function measureSeries<Value extends number> (values: readonly Value[], seed: number, buildOverrides: (value: Value) => Partial<DeploymentLoad>): Array<readonly [number, ControlPlaneResults]> {
  return values.map(value => [value, measureControlPlane({ seed, load: { ...BASE_LOAD, ...buildOverrides(value) } })] as const)
}

function run (seed: number): ExperimentResults {
  const byHosts = measureSeries(IDLE_SIZES, seed, hostsPerZone => ({ hostsPerZone }))
  const byEngines = measureSeries([1, 2, 4, 8], seed, enginesPerHost => ({ enginesPerHost }))
  const byRequests = measureSeries(REQUEST_RATES, seed, requestsPerHostPerSecond => ({ requestsPerHostPerSecond }))
  const byChanges = measureSeries(CHANGE_RATES, seed, changesPerSecond => ({ changesPerSecond }))
  const byHostsUnderLoad = measureSeries(LOADED_SIZES, seed, hostsPerZone => ({ hostsPerZone, requestsPerHostPerSecond: LOADED_RATE }))
  const byZones = measureSeries(ZONE_COUNTS, seed, zones => ({ zones, hostsPerZone: 4 }))
  const zoneOfTargetSize = measureControlPlane({ seed, load: TARGET_ZONE_LOAD })
  return {
    target: TARGET_DEPLOYMENT,
    zoneOfTargetSize: { load: TARGET_ZONE_LOAD, figures: zoneOfTargetSize },
    base: BASE_LOAD,
    points: {
      hostsPerZone: Object.fromEntries(byHosts),
      enginesPerHost: Object.fromEntries(byEngines),
      requestsPerHostPerSecond: Object.fromEntries(byRequests),
      changesPerSecond: Object.fromEntries(byChanges),
      hostsPerZoneUnderLoad: Object.fromEntries(byHostsUnderLoad),
      zones: Object.fromEntries(byZones)
    },
    slopes: {
      perHostInZone: fitAllResults(byHosts),
      perEngineOfHost: fitAllResults(byEngines),
      perRequestPerSecondOfHost: fitAllResults(byRequests),
      perChangePerSecond: fitAllResults(byChanges),
      perHostInZoneUnderLoad: fitAllResults(byHostsUnderLoad),
      perZone: fitAllResults(byZones)
    }
  }
}

export const capacity: Experiment = {
  name: 'capacity',
  description: 'control messages and CPU time of each role over zone size, load and changes',
  targets: [
    { key: 'zoneOfTargetSize.figures.meanBytesPerHost', bound: 'atMost', value: 9_000, unit: 'B/s' },
    { key: 'zoneOfTargetSize.figures.holderBytes', bound: 'atMost', value: 9_000, unit: 'B/s' },
    { key: 'zoneOfTargetSize.figures.meanCpuMsPerHost', bound: 'atMost', value: 10, unit: 'ms/s' }
  ],
  run: async ({ seed }) => run(seed)
}
