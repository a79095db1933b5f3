/** Fetches a JSON document over HTTP, with limits on time and size. Called by the engine and platform drivers on each poll. */
import type { Clock } from '@catkinferry/core.clock'
import type { Result } from '@catkinferry/core.errors'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import { createHeldBuffer } from '@catkinferry/core.memory-budget'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { DurationMs } from '@catkinferry/core.types'
import type { Dispatcher } from 'undici'
import { buildCallFailure } from './failures.ts'
import { startHttpCall } from './httpCall.ts'

export interface ReadJsonOptions {
  readonly dispatcher: Dispatcher
  readonly clock: Clock
  readonly path: string
  readonly timeoutMs: DurationMs
  readonly maxBytes: number
  /** Accounts for the body; its owner is `peer`. */
  readonly budget: MemoryBudget
  /** Step and peer that a failure names. */
  readonly step: string
  readonly peer: string
}

function parseJson (opts: ReadJsonOptions, status: number, text: string): Result<unknown> {
  const { step, peer } = opts
  if (status !== 200) return createFailed({ code: ErrorCode.ENDPOINT_FAILED, message: `status ${status}`, step, peer })
  try {
    return createOk(JSON.parse(text) as unknown)
  } catch {
    return createFailed({ code: ErrorCode.BAD_FRAME, message: 'response is not valid JSON', step, peer })
  }
}

/** Sends `GET path` and parses the response body. Fails on any status but 200. The timeout covers the whole call, including connecting. */
export async function readJson (opts: ReadJsonOptions): Promise<Result<unknown>> {
  const { step, peer } = opts
  const endBeforeMs = opts.clock.getMonotonicMs() + opts.timeoutMs
  return await new Promise(resolve => {
    let status = 0

    function finish (result: Result<unknown>): void {
      content.release()
      resolve(result)
    }

    function failTooLarge (message: string): void {
      call.cancel()
      finish(createFailed({ code: ErrorCode.TOO_LARGE, message, step, peer }))
    }

    const content = createHeldBuffer({ budget: opts.budget, owner: peer, maxBytes: opts.maxBytes, onEvicted: () => failTooLarge('response was dropped: other endpoints need the memory') })
    const call = startHttpCall({
      dispatcher: opts.dispatcher,
      clock: opts.clock,
      method: 'GET',
      path: opts.path,
      headers: {},
      sendBeforeMs: endBeforeMs,
      endBeforeMs,
      handler: {
        onHead: value => { status = value },
        onData: data => {
          const limit = content.add(data)
          if (limit !== undefined) failTooLarge(`response is over the limit of ${opts.maxBytes} bytes or of the memory for responses (limit: ${limit})`)
        },
        onEnd: () => finish(parseJson(opts, status, content.getText())),
        onFail: failure => finish(createFailed(buildCallFailure({ failure, step, peer })))
      }
    })
  })
}
