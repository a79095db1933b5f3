/** catkinferryd: the daemon of an entry host. */
export {}
