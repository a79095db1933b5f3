/** Intervals and timeouts of membership. */

/** Interval of hellos between core hosts, and of an entry host to the leader, or to all core hosts while it knows no leader. */
export const HELLO_INTERVAL_MS = 500

/** Interval of hellos of an entry host to core hosts other than the leader. */
export const SLOW_HELLO_INTERVAL_MS = 1_000

/** A host not heard from for longer than this is considered down. */
export const HOST_TIMEOUT_MS = 2_500

/** A silent host is forgotten after this time, because addresses are reused. Core hosts that are seeds are kept. */
export const HOST_RETENTION_MS = 20_000

/** How often the leader names relay peers to an entry host. */
export const RELAY_PEERS_INTERVAL_MS = 2_000

/** Relay peers that the leader names at once: in the zone of the entry host, in other zones of its region, and elsewhere. Places that one group leaves are filled from the others. */
export const RELAY_PEERS_SAME_ZONE = 2
export const RELAY_PEERS_SAME_REGION = 3
export const RELAY_PEERS_ELSEWHERE = 3

/** Relay peers that an entry host remembers; the one named longest ago is dropped first. */
export const MAX_RELAY_PEERS = 16

/** An entry host no longer knows the leader if the last welcome that named it is older than this. */
export const LEADER_TIMEOUT_MS = 2_500
