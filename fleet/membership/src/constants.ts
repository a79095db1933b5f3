/** Timing of presence. */

/** How often a host tells the leader, and core hosts each other, that it is there. */
export const HELLO_INTERVAL_MS = 500

/** How often an entry host tells the other core hosts. */
export const SLOW_HELLO_INTERVAL_MS = 1_000

/** A host that was not heard from for this long counts as gone. */
export const PRESENCE_MS = 2_500

/** A core host that is no seed is forgotten after this silence; addresses are used again. */
export const FORGET_CORE_MS = 20_000

/** A welcome older than this says nothing of the leader any more. */
export const LEADER_KNOWN_MS = 2_500
