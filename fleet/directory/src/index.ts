/** The routes, adapter versions and endpoints known to an entry host, its load requests and its reports to the leader. */
export { createDirectory } from './directory.ts'
export type { Directory, DirectoryEndpoint, DirectoryMessage } from './directory.ts'
export { ResponseProgress } from './crashReports.ts'
export type { BrokenRequest } from './crashReports.ts'
export type { OthersLoad } from './fleetLoads.ts'
export type { LoadAnswer, LoadRequest } from './loadRequests.ts'
export type { ActiveRoutes } from './activeRoutes.ts'
