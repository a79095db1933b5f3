/** Fake plain service over HTTP that counts the runs of each idempotency key. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createFakeFaults } from './fakeFaults.ts'
import type { FakeFaults } from './fakeFaults.ts'
import { openFakeServer, readBody, sendJson } from './httpServer.ts'

export interface FakeServiceOptions {
  readonly port?: number
  readonly runMs?: number
  readonly faults?: Partial<FakeFaults>
}

export interface FakeService {
  readonly url: string
  readonly faults: FakeFaults
  /** Runs by idempotency key; `''` counts calls without one. */
  readonly runs: ReadonlyMap<string, number>
  readonly close: () => Promise<void>
}

/** Starts a fake service on loopback. With `cutAfterChunks` set, it runs the call and closes the connection without an answer. */
export async function startFakeService (opts: FakeServiceOptions = {}): Promise<FakeService> {
  const faults = Object.assign(createFakeFaults(), opts.faults)
  const runs = new Map<string, number>()

  async function handle (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = await readBody(req)
    if (faults.refuseStatus !== undefined) return sendJson(res, faults.refuseStatus, { error: { code: 'busy' } })
    const key = String(req.headers['idempotency-key'] ?? '')
    runs.set(key, (runs.get(key) ?? 0) + 1)
    await sleep((opts.runMs ?? 0) * faults.slowFactor + faults.lateMs)
    if (faults.cutAfterChunks !== undefined) {
      res.destroy()
      return
    }
    if (faults.silentAfterChunks !== undefined) return
    const attempt = faults.crossedAttemptId ?? String(req.headers['x-catkinferry-attempt'] ?? '')
    sendJson(res, 200, { method: req.method, path: req.url, received: body, runs: runs.get(key) }, { 'x-catkinferry-attempt': attempt })
  }

  const server = await openFakeServer(opts.port ?? 0, handle)
  return { url: server.url, faults, runs, close: server.close }
}
