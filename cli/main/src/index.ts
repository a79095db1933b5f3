/** catkinferry: the operator command line. */
export {}
