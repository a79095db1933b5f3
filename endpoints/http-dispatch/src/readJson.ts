/** Fetches a JSON document over HTTP, with limits on time and size. Called by the engine and platform drivers on each poll. */
import type { Clock } from '@catkinferry/core.clock'
import type { Result } from '@catkinferry/core.errors'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
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
    const parts: Buffer[] = []
    let bytes = 0
    let status = 0
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
          bytes += data.length
          parts.push(data)
          if (bytes <= opts.maxBytes) return
          call.cancel()
          resolve(createFailed({ code: ErrorCode.TOO_LARGE, message: `response is over the limit of ${opts.maxBytes} bytes`, step, peer }))
        },
        onEnd: () => { resolve(parseJson(opts, status, Buffer.concat(parts).toString('utf8'))) },
        onFail: failure => { resolve(createFailed(buildCallFailure({ failure, step, peer }))) }
      }
    })
  })
}
