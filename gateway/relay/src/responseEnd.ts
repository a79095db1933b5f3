/** Tells whether the response of an endpoint or a peer has ended complete. Called for each response that is passed on. */
import type { IncomingMessage } from 'node:http'
import { isAliveAfterEnd, isFramed } from '@catkinferry/endpoints.liveness'
import type { Attempt, AttemptEnd } from './attempt.ts'
import { CONNECT_TIMEOUT_MS } from './constants.ts'
import { hasOpenConnection } from './endpointLinks.ts'

/** Whether the response to an attempt says where it ends. */
export function isFramedResponse ({ exchange: { req: { method } } }: Attempt, { headers, statusCode = 0 }: IncomingMessage): boolean {
  return isFramed({ status: statusCode, headers, method })
}

export interface EndWatch {
  /** Stops the watch; nothing is called any more. */
  readonly stop: () => void
}

export interface EndHandlers {
  /** How a response whose connection ended in order was broken off all the same. */
  readonly findBreak?: () => Extract<AttemptEnd, { kind: 'lost' }> | undefined
  readonly onComplete: () => void
  /** Why the attempt is lost if the response is broken off. */
  readonly truncated: string
}

/** Settles the attempt as lost unless its response ends complete. One without length or chunks is complete if its endpoint lives on. */
export function watchEnd (attempt: Attempt, response: IncomingMessage, { findBreak = () => undefined, onComplete, truncated }: EndHandlers): EndWatch {
  const { exchange, target: { link }, settle, isSettled, isComplete, request } = attempt
  let isConfirming = false

  async function confirmEnd (): Promise<void> {
    isConfirming = true
    const { address, localIp } = link
    const isAlive = await isAliveAfterEnd({ address, localIp, timeoutMs: CONNECT_TIMEOUT_MS, hasOpenConnection: () => hasOpenConnection(link) })
    if (isSettled() || exchange.ended !== undefined) return
    if (isAlive) onComplete()
    // The end has arrived, so the path from this host to the endpoint works.
    else settle({ kind: 'lost', reason: 'the endpoint ended with the connection of a response without length or chunks', isProcessEnded: true })
  }

  function handleEnd (): void {
    if (!isComplete() || isSettled() || exchange.ended !== undefined) return
    const broken = findBreak()
    if (broken !== undefined) settle(broken)
    else if (isFramedResponse(attempt, response)) onComplete()
    else void confirmEnd()
  }

  function handleClose (): void {
    if (!isConfirming) settle({ kind: 'lost', reason: truncated, isBroken: true })
    if (!isComplete()) request.destroy()
  }

  response.on('end', handleEnd)
  response.on('close', handleClose)
  return { stop: () => { response.off('end', handleEnd).off('close', handleClose) } }
}
