/**
 * Polls the status report of an engine: loaded adapters, load, limits and fencing. Called by the engine driver for the owner
 * of the endpoint, at the interval `endpoint.pollMs`.
 */
import type { Clock } from '@catkinferry/core.clock'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { EndpointId, EndpointReport } from '@catkinferry/core.types'
import { readJson } from '@catkinferry/endpoints.http-dispatch'
import type { Connections } from '@catkinferry/endpoints.http-dispatch'
import type { HostEvent } from '@catkinferry/host.events'
import * as z from 'zod'

const POLL_TIMEOUT_MS = 1_500
const MAX_REPORT_BYTES = 1024 * 1024

const countSchema = z.number().int().min(0)

const reportSchema = z.object({
  instance_id: z.string().min(1),
  resident: z.array(z.string()),
  loading: z.array(z.string()).default([]),
  running: z.record(z.string(), countSchema).default({}),
  running_count: countSchema,
  queued_count: countSchema,
  batch_limit: countSchema,
  slots: countSchema,
  pool: z.string(),
  checks_fencing: z.boolean().default(false),
  highest_fencing: z.number().default(0),
  age_ms: z.number().min(0).default(0)
})

function buildReport (raw: z.infer<typeof reportSchema>): EndpointReport {
  return {
    instanceId: raw.instance_id,
    resident: raw.resident,
    loading: raw.loading,
    running: raw.running,
    runningCount: raw.running_count,
    queuedCount: raw.queued_count,
    batchLimit: raw.batch_limit,
    slots: raw.slots,
    pool: raw.pool,
    checksFencing: raw.checks_fencing,
    highestFencing: raw.highest_fencing,
    ageMs: raw.age_ms
  }
}

/** Polls once. A missing or malformed report counts as unreachable. */
export async function pollEngine (opts: { readonly endpoint: EndpointId, readonly url: string, readonly clock: Clock, readonly connections: Connections, readonly budget: MemoryBudget }): Promise<HostEvent> {
  const { endpoint, clock } = opts
  const dispatcher = opts.connections.getShared(opts.url)
  const result = await readJson({ dispatcher, clock, path: '/v1/report', timeoutMs: POLL_TIMEOUT_MS, maxBytes: MAX_REPORT_BYTES, budget: opts.budget, step: 'endpoint.poll', peer: endpoint })
  const parsed = result.ok ? reportSchema.safeParse(result.value) : undefined
  if (parsed?.success !== true) return { kind: 'endpoint.unreachable', endpoint }
  return { kind: 'endpoint.report', endpoint, report: buildReport(parsed.data) }
}
