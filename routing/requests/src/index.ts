/** The life of a request from submission to answer. */
export {}
