/** The settings file of a host. */
export {}
