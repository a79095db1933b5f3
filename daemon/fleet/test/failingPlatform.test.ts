import { expect } from 'earl'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { createSystemClock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import { createMetricsPage } from '@catkinferry/core.metrics-page'
import type { ListedEndpoint, RouteTable } from '@catkinferry/core.types'
import { waitFor } from '@catkinferry/testing.fakes'
import { FLEET_METRICS, METRICS_PREFIX, startCoreHost } from '../src/index.ts'
import type { FleetSettings } from '../src/index.ts'

const IP = `127.58.${process.pid % 250}.10`
const HOST = `${IP}:7380`
const SETTINGS: FleetSettings = { name: 'core-0', host: HOST, zone: 'z', region: 'r', regionsByZone: new Map([['z', 'r']]), seeds: [HOST], bootstrap: true, toleratedDiskLosses: 0, enginesCheckFencing: true, times: { graceMs: 1_000, handOverMs: 0, listLagMs: 0 }, retryBudget: { ratio: 0.2, slack: 1, windowMs: 1_000 } }
const TABLE: RouteTable = { version: 1, routes: [], pools: [{ name: 'p', healthPath: '/', maxConnections: 1, engine: { batchLimit: 1, weightsMb: 1, adapterPlaces: 4, modelLoadsPerSecond: 10, models: [{ model: 'm', weightsMb: 1, loadMs: 1, adapterMb: 1 }] } }], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
const ENGINE: ListedEndpoint = { endpoint: 'e1', pool: 'p', zone: 'z', address: '10.0.0.1:1', leaving: false, bornAt: 1, models: [] }
const MAX_WAIT_MS = 15_000

describe('a leading core host', () => {
  // Guards against a process that ends, or never reads the list again, because a read of the list or an order rejects.
  it('goes on when reads of the list and orders reject', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'catkinferry-failing-platform-'))
    const lines: string[] = []
    const calls = { reads: 0, orders: 0 }
    const core = await startCoreHost({
      settings: { ...SETTINGS, dataFolder: folder },
      getSeeds: () => SETTINGS.seeds,
      clock: createSystemClock(),
      logger: createLogger({ level: 'info', write: line => { lines.push(line) } }),
      metrics: createMetrics({ prefix: '', onError: () => undefined }),
      page: createMetricsPage({ prefix: METRICS_PREFIX, rows: FLEET_METRICS }),
      platform: {
        readList: () => {
          calls.reads += 1
          return calls.reads % 2 === 1 ? Promise.reject(new URIError('odd token')) : Promise.resolve([ENGINE])
        },
        sendOrder: () => {
          calls.orders += 1
          return Promise.reject(new RangeError('odd port'))
        }
      }
    })
    try {
      await core.submit({ kind: 'routes.replace', table: TABLE, document: '{}' }, MAX_WAIT_MS)
      await waitFor('four reads of the list and two orders', () => calls.reads >= 4 && calls.orders >= 2, { maxMs: MAX_WAIT_MS })
      for (const message of ['failed to read the list of endpoints', 'order was not confirmed']) expect(lines.some(line => line.includes(message))).toEqual(true)
    } finally {
      await core.stop()
      await rm(folder, { recursive: true, force: true })
    }
  })
})
