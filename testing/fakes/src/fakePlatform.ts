/** Fake platform API over HTTP: a list of endpoints and hosts that lags behind changes. */
import type { EndpointRow } from '@catkinferry/core.types'
import { openFakeServer, sendJson } from './httpServer.ts'

export interface FakePlatformHost {
  readonly host: string
  readonly zone: string
  readonly leaving: boolean
}

export interface FakePlatform {
  /** URL of the list. */
  readonly url: string
  /** Replaces the list. The new list is served after the lag, or at once if only one list is stored (at the start, or after a request discarded the older ones). */
  readonly setList: (endpoints: readonly EndpointRow[], hosts: readonly FakePlatformHost[]) => void
  /** While true, requests for the list fail: the connection is closed without an answer. */
  readonly setDown: (down: boolean) => void
  readonly close: () => Promise<void>
}

/** Starts a fake platform on loopback, with an empty list. */
export async function startFakePlatform (opts: { readonly port?: number, readonly lagMs?: number } = {}): Promise<FakePlatform> {
  const lagMs = opts.lagMs ?? 0
  let lists: { readonly at: number, readonly body: unknown }[] = [{ at: -Infinity, body: { endpoints: [], hosts: [] } }]
  let down = false
  const server = await openFakeServer(opts.port ?? 0, async (_req, res) => {
    if (down) {
      res.destroy()
      return
    }
    const now = performance.now()
    const shown = lists.findLastIndex(({ at }) => at <= now - lagMs)
    lists = lists.slice(Math.max(0, shown))
    sendJson(res, 200, lists[0]?.body)
  })
  return {
    url: `${server.url}/v1/list`,
    setList: (endpoints, hosts) => { lists.push({ at: lists.length === 1 ? -Infinity : performance.now(), body: { endpoints, hosts } }) },
    setDown: value => { down = value },
    close: server.close
  }
}
