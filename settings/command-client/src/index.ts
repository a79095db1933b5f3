/** Submits commands to the leader and settles lost answers. */
export {}
