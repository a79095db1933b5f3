/** Load and experiment tool. */
export {}
