/** Stateful fuzzing and the fault matrix. */
export {}
