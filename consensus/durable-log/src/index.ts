/** Append-only segments, hard state and snapshots on disk. */
export {}
