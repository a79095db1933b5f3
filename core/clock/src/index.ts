/** Monotonic and wall clocks, the lateness of the event loop, and time limits on what other processes send. */
export { createSystemClock } from './clock.ts'
export type { Clock } from './clock.ts'
export { createLoopWatch, TURN_INTERVAL_MS } from './loopWatch.ts'
export type { LateTurn, LoopListener, LoopWatch } from './loopWatch.ts'
export { startTimeLimit, startTurningLimit } from './timeLimit.ts'
export type { TimeLimit } from './timeLimit.ts'
