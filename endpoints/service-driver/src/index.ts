/** Plain service calls over HTTP. */
export {}
