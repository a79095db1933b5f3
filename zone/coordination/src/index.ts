/** Leases, ownership, membership and grants of a zone as one system. */
export {}
