/** What an entry host knows of routes, adapter versions and endpoints, and its asks for loads. */
export { createDirectory } from './directory.ts'
export type { Directory, DirectoryEndpoint, DirectoryMessage } from './directory.ts'
export type { OthersLoad } from './fleetLoads.ts'
export type { LoadAnswer, LoadQuestion } from './loadAsks.ts'
export type { RoutesInForce } from './routesInForce.ts'
