/** Rules between the keys of a settings file. */
import type { Config } from './configSchema.ts'

/** One thing wrong with a settings file. `path` joins keys with dots; empty for the file itself. */
export interface ConfigProblem {
  readonly file: string
  readonly path: string
  readonly reason: string
}

type Problem = Omit<ConfigProblem, 'file'>
type Rule = (config: Config) => readonly Problem[]

const MAX_VOTERS = 7

/** True for addresses that only this machine can reach. */
export function isLoopback (address: string): boolean {
  return address.startsWith('127.') || address.startsWith('[::1]')
}

function listRepeated (names: readonly string[], path: string): Problem[] {
  const repeated = new Set(names.filter((name, index) => names.indexOf(name) !== index))
  return [...repeated].map(name => ({ path, reason: `${name} stands twice` }))
}

const checkSelf: Rule = ({ host, zone, region, path, peers }) => {
  const problems: Problem[] = []
  const self = peers.find(peer => peer.host === host)
  if (self === undefined) problems.push({ path: 'peers', reason: `does not list this host, ${host}` })
  else if (self.zone !== zone || self.region !== region) problems.push({ path: 'peers', reason: `places ${host} in ${self.region}/${self.zone}, the file in ${region}/${zone}` })
  const [, pathRegion, pathZone, , pathHost] = path.split('/')
  if (pathRegion !== region || pathZone !== zone || pathHost !== host) problems.push({ path: 'path', reason: `must be fleet/${region}/${zone}/RACK/${host}` })
  return problems
}

const checkNames: Rule = ({ peers, services, endpoints = [] }) => [
  ...listRepeated(peers.map(({ host }) => host), 'peers'),
  ...listRepeated(peers.map(({ address }) => address), 'peers'),
  ...listRepeated(services.map(({ route }) => route), 'services'),
  ...listRepeated(endpoints.map(({ endpoint }) => endpoint), 'endpoints')
]

const checkVoters: Rule = ({ host, peers, voters, leaseVoters, dataFolder }) => {
  const known = new Set(peers.map(peer => peer.host))
  const problems: Problem[] = [...listRepeated(voters, 'voters'), ...listRepeated(leaseVoters, 'leaseVoters')]
  for (const name of voters.filter(voter => !known.has(voter))) problems.push({ path: 'voters', reason: `${name} is not among the peers` })
  for (const name of leaseVoters.filter(voter => !known.has(voter))) problems.push({ path: 'leaseVoters', reason: `${name} is not among the peers` })
  if (voters.length % 2 === 0 || voters.length > MAX_VOTERS) problems.push({ path: 'voters', reason: `must be an odd number up to ${MAX_VOTERS}, is ${voters.length}` })
  if (voters.includes(host) && dataFolder === undefined) problems.push({ path: 'dataFolder', reason: 'is needed on a voter' })
  const zones = new Set(peers.map(peer => peer.zone))
  for (const zone of zones) {
    if (peers.some(peer => peer.zone === zone && leaseVoters.includes(peer.host))) continue
    problems.push({ path: 'leaseVoters', reason: `zone ${zone} has none` })
  }
  return problems
}

const checkSafety: Rule = ({ listen, tls, operatorTokens, allowInsecure }) => {
  if (allowInsecure) return []
  const problems: Problem[] = []
  if (tls === undefined && !isLoopback(listen.peer)) problems.push({ path: 'tls', reason: 'is needed where peers listen beyond loopback; or set allowInsecure' })
  if (operatorTokens === undefined && !isLoopback(listen.operator)) problems.push({ path: 'operatorTokens', reason: 'is needed where operators listen beyond loopback; or set allowInsecure' })
  return problems
}

const checkSources: Rule = ({ platform, endpoints }) => {
  if ((platform === undefined) !== (endpoints === undefined)) return []
  return [{ path: 'platform', reason: 'name exactly one of platform and endpoints' }]
}

const RULES: readonly Rule[] = [checkSelf, checkNames, checkVoters, checkSafety, checkSources]

/** Lists every rule that the file breaks. */
export function checkConfig (config: Config): Problem[] {
  return RULES.flatMap(rule => rule(config))
}
