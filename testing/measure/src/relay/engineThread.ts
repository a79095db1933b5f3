/** Worker thread of the relay experiment: runs one fake engine and posts its URL. */
import { parentPort, workerData } from 'node:worker_threads'
import { startFakeEngine } from '@catkinferry/testing.fakes'
import type { FakeEngineOptions } from '@catkinferry/testing.fakes'

const engine = await startFakeEngine(workerData as FakeEngineOptions)
parentPort?.postMessage(engine.url)
