/** Simulated deployment of host cores in memory, on virtual time, for the fuzzer, the fault matrix and capacity measurements. */
export { createCluster, PLATFORM } from './cluster.ts'
export type { Cluster, ClusterOptions } from './cluster.ts'
export { encodeMessage } from './messageCopy.ts'
export { WALL_EPOCH_MS } from './simHost.ts'
export { ENGINE_POOL, MODEL, SERVICE_ROUTE, SMALL_DEPLOYMENT } from './topology.ts'
export type { DeploymentShape } from './topology.ts'
