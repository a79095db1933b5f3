/**
 * Time limits on what other processes send. Node.js runs timers that are due before it reads sockets, so after a long step of the
 * event loop or a pause of the process a plain timer expires although the bytes have arrived.
 */

export interface TimeLimit {
  readonly cancel: () => void
}

/** A pause counts as this much of a time limit that leaves pauses out. */
const SLICE_MS = 50

/** Calls `onExpired` after `ms`, once the sockets that were readable then have been read. */
export function startTimeLimit (ms: number, onExpired: () => void): TimeLimit {
  let turn: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { turn = setImmediate(onExpired) }, ms)
  return {
    cancel: () => {
      clearTimeout(timer)
      clearImmediate(turn)
    }
  }
}

/** The same for an exchange of several steps, of which each needs a turn of the event loop: time in which the loop stood still does not count. */
export function startTurningLimit (ms: number, onExpired: () => void): TimeLimit {
  let limit: TimeLimit
  const startSlice = (leftMs: number): void => {
    limit = startTimeLimit(Math.min(SLICE_MS, leftMs), () => leftMs <= SLICE_MS ? onExpired() : startSlice(leftMs - SLICE_MS))
  }
  startSlice(ms)
  return { cancel: () => limit.cancel() }
}
