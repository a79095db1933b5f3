/** Counts the bytes that are written to a response and wait for its caller to read. They outlive the request, which ends with the last write. */
import type { ServerResponse } from 'node:http'
import type { RelayState } from './relayState.ts'
import { HeldUse } from './relayOptions.ts'
import { openResponseMemory } from './responseMemory.ts'
import type { MemoryRefusal, ResponseMemory } from './responseMemory.ts'

export interface CallerQueue {
  /** Called after each write that the connection may not have taken at once. */
  readonly record: () => void
}

/** Creates the queue of a response. The connection is reset if its bytes may not be held: a caller that reads too slowly must not take what has come for the whole response. */
export function createCallerQueue ({ opts, callerMemory }: Pick<RelayState, 'callerMemory'> & { readonly opts: Pick<RelayState['opts'], 'logger' | 'observer'> }, res: ServerResponse, requestId?: string): CallerQueue {
  let memory: ResponseMemory | undefined

  function open (): ResponseMemory {
    const { socket } = res
    const peer = `${socket?.remoteAddress}:${socket?.remotePort}`
    const onRefused = (limit: MemoryRefusal): void => {
      opts.observer.count('memory_refusals', { use: HeldUse.CALLERS, limit })
      opts.logger.info('resetting the connection of a caller that reads too slowly', { step: 'memory', requestId, peer, limit, queuedBytes: res.writableLength })
      if (socket === null) res.destroy()
      else socket.resetAndDestroy()
    }
    const opened = openResponseMemory({ budget: callerMemory, owner: peer, onRefused })
    res.on('drain', () => opened.resize(res.writableLength))
    res.once('close', opened.release)
    return opened
  }

  return {
    record: () => {
      if (res.closed || res.destroyed || (memory === undefined && res.writableLength < res.writableHighWaterMark)) return
      memory ??= open()
      memory.resize(res.writableLength)
    }
  }
}
