/** JSON-line logs. */
export {}
