/** Assignment of endpoints to owners with sub-leases and fencing numbers. */
export {}
