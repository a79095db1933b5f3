/**
 * Reads the platform's list of endpoints and hosts, by HTTP or from the settings file, and emits it to the host core for
 * the zone's endpoint inventory. Runs on each `platform.poll` output of the host core, at the interval `platform.pollMs` on
 * the zone's lease holder and its standby.
 */
import type { Clock } from '@catkinferry/core.clock'
import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import { createConnections, readJson } from '@catkinferry/endpoints.http-dispatch'
import type { Connections } from '@catkinferry/endpoints.http-dispatch'
import type { HostEvent } from '@catkinferry/host.events'
import * as z from 'zod'

const endpointRowSchema = z.object({
  endpoint: z.string().min(1),
  kind: z.enum(['engine', 'service']),
  zone: z.string().min(1),
  region: z.string().min(1),
  url: z.url(),
  pool: z.string().min(1),
  model: z.string().optional(),
  leaving: z.boolean().default(false)
})

const platformHostSchema = z.object({ host: z.string().min(1), zone: z.string().min(1), leaving: z.boolean().default(false) })

const listSchema = z.object({ endpoints: z.array(endpointRowSchema), hosts: z.array(platformHostSchema).default([]) })

export type PlatformList = z.infer<typeof listSchema>

export type PlatformSource =
  | { readonly kind: 'http', readonly url: string }
  /** The list in the settings file, emitted unchanged by each poll. */
  | { readonly kind: 'fixed', readonly list: PlatformList }

export interface PlatformDriverOptions {
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly source: PlatformSource
}

export interface PlatformDriver {
  /**
   * Reads the list once and emits `platform.list`, or `platform.unreachable` if there is no valid response. Does nothing
   * while an HTTP request of an earlier poll is in progress.
   */
  readonly poll: () => void
  readonly close: () => Promise<void>
}

/** Time limit of one HTTP request for the list. */
const POLL_TIMEOUT_MS = 2_000
/** Limit on the response body. Sufficient for the target size of 6,400 endpoints. */
const MAX_LIST_BYTES = 8 * 1024 * 1024

async function readList (clock: Clock, connections: Connections, budget: MemoryBudget, url: string): Promise<HostEvent> {
  const { origin, pathname, search } = new URL(url)
  const result = await readJson({
    dispatcher: connections.getShared(origin),
    clock,
    path: pathname + search,
    timeoutMs: POLL_TIMEOUT_MS,
    maxBytes: MAX_LIST_BYTES,
    budget,
    step: 'platform.poll',
    peer: origin
  })
  const parsed = result.ok ? listSchema.safeParse(result.value) : undefined
  if (parsed?.success !== true) return { kind: 'platform.unreachable' }
  return { kind: 'platform.list', ...parsed.data }
}

export function createPlatformDriver (opts: PlatformDriverOptions): PlatformDriver {
  const { clock, emit, source } = opts
  const connections = createConnections()
  // One poll at a time; its list counts twice while it grows.
  const budget = createMemoryBudget({ maxBytes: 2 * MAX_LIST_BYTES, maxOwnerBytes: 2 * MAX_LIST_BYTES })
  let polling = false
  return {
    poll: () => {
      if (source.kind === 'fixed') {
        emit({ kind: 'platform.list', ...source.list })
        return
      }
      if (polling) return
      polling = true
      void readList(clock, connections, budget, source.url).then(event => {
        polling = false
        emit(event)
      })
    },
    close: connections.close
  }
}
