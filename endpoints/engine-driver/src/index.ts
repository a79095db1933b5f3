/** Model engine protocol over HTTP. */
export {}
