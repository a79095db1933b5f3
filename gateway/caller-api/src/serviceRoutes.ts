/** Matches request paths to plain service routes by prefix, for the caller API on each request. */

export interface ServiceRoute {
  readonly route: string
  /** Matches this path and all paths below it. */
  readonly pathPrefix: string
  readonly idempotent: boolean
}

/** Finds the route with the longest matching prefix. */
export function findRoute (routes: readonly ServiceRoute[], path: string): ServiceRoute | undefined {
  const matching = routes.filter(({ pathPrefix }) => path === pathPrefix || path.startsWith(pathPrefix.endsWith('/') ? pathPrefix : pathPrefix + '/'))
  return matching.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0]
}
