/** Load budget shared between zones. */
export {}
