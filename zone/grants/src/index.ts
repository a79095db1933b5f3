/** Grants, pins and take-over at the owner of an endpoint. */
export {}
