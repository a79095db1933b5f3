/** Checks the rules between the keys of a settings file, after its schema was validated. */
import type { Config } from './configSchema.ts'

/** A problem of a settings file. `path` is the key, joined with dots, or the line and column of a syntax error; empty for the file itself. */
export interface ConfigProblem {
  readonly file: string
  readonly path: string
  readonly reason: string
}

type Problem = Omit<ConfigProblem, 'file'>
type Rule = (config: Config) => readonly Problem[]

const MAX_VOTERS = 7

/** Whether only this machine can reach the address. */
export function isLoopback (address: string): boolean {
  return address.startsWith('127.') || address.startsWith('[::1]')
}

function listDuplicates (names: readonly string[], path: string): Problem[] {
  const duplicates = new Set(names.filter((name, index) => names.indexOf(name) !== index))
  return [...duplicates].map(name => ({ path, reason: `lists ${name} more than once` }))
}

const checkSelf: Rule = ({ host, zone, region, path, peers }) => {
  const problems: Problem[] = []
  const self = peers.find(peer => peer.host === host)
  if (self === undefined) problems.push({ path: 'peers', reason: `does not list this host, ${host}` })
  else if (self.zone !== zone || self.region !== region) problems.push({ path: 'peers', reason: `lists ${host} in ${self.region}/${self.zone}, but the file sets ${region}/${zone}` })
  const [, pathRegion, pathZone, , pathHost] = path.split('/')
  if (pathRegion !== region || pathZone !== zone || pathHost !== host) problems.push({ path: 'path', reason: `must be fleet/${region}/${zone}/RACK/${host}` })
  return problems
}

const checkNames: Rule = ({ peers, services, endpoints = [] }) => [
  ...listDuplicates(peers.map(({ host }) => host), 'peers'),
  ...listDuplicates(peers.map(({ address }) => address), 'peers'),
  ...listDuplicates(services.map(({ route }) => route), 'services'),
  ...listDuplicates(endpoints.map(({ endpoint }) => endpoint), 'endpoints')
]

const checkVoters: Rule = ({ host, peers, voters, leaseVoters, dataFolder }) => {
  const known = new Set(peers.map(peer => peer.host))
  const problems: Problem[] = [...listDuplicates(voters, 'voters'), ...listDuplicates(leaseVoters, 'leaseVoters')]
  for (const name of voters.filter(voter => !known.has(voter))) problems.push({ path: 'voters', reason: `${name} is not among the peers` })
  for (const name of leaseVoters.filter(voter => !known.has(voter))) problems.push({ path: 'leaseVoters', reason: `${name} is not among the peers` })
  if (voters.length % 2 === 0 || voters.length > MAX_VOTERS) problems.push({ path: 'voters', reason: `must be an odd number up to ${MAX_VOTERS}, is ${voters.length}` })
  if (voters.includes(host) && dataFolder === undefined) problems.push({ path: 'dataFolder', reason: 'is required on a voter' })
  const zones = new Set(peers.map(peer => peer.zone))
  for (const zone of zones) {
    if (peers.some(peer => peer.zone === zone && leaseVoters.includes(peer.host))) continue
    problems.push({ path: 'leaseVoters', reason: `lists no host of zone ${zone}` })
  }
  return problems
}

const checkSafety: Rule = ({ listen, tls, operatorTokens, allowInsecure }) => {
  if (allowInsecure) return []
  const problems: Problem[] = []
  if (tls === undefined && !isLoopback(listen.peer)) problems.push({ path: 'tls', reason: 'is required if peers listen on a non-loopback address, unless allowInsecure is set' })
  if (operatorTokens === undefined && !isLoopback(listen.operator)) problems.push({ path: 'operatorTokens', reason: 'is required if operators listen on a non-loopback address, unless allowInsecure is set' })
  return problems
}

const checkSources: Rule = ({ platform, endpoints }) => {
  if ((platform === undefined) !== (endpoints === undefined)) return []
  return [{ path: 'platform', reason: 'exactly one of platform and endpoints is required' }]
}

const RULES: readonly Rule[] = [checkSelf, checkNames, checkVoters, checkSafety, checkSources]

/** Returns a problem for each violated rule. */
export function checkConfig (config: Config): Problem[] {
  return RULES.flatMap(rule => rule(config))
}
