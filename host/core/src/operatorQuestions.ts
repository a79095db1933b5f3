/** Dispatches operators' queries and commands by kind. Queries are answered from this host's state or by the voters. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { OperatorCall, OperatorRequest } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { describeNode, listSubtree } from '@catkinferry/settings.tree'
import type { Query } from '@catkinferry/wire.messages'
import { submitChange, submitResolution } from './operatorCommands.ts'
import type { Reply } from './operatorCommands.ts'
import type { HostState } from './hostState.ts'
import { submitReplacement } from './voterQuestions.ts'

/** Time limit of a query to the voters. */
const QUERY_TIMEOUT_MS = 5_000

type RequestHandler<Kind extends OperatorCall['kind']> = (opts: {
  readonly host: HostState
  readonly request: Extract<OperatorRequest, { kind: Kind }>
  readonly reply: Reply
  readonly context: RunContext
}) => void

function queryVoters (opts: { host: HostState, query: Query, fresh: boolean, reply: Reply, context: RunContext }): void {
  const { host, query, fresh, reply, context } = opts
  host.systems.commands.submitQuery({
    query,
    fresh,
    deadlineAt: context.now + QUERY_TIMEOUT_MS,
    onAnswer: (result, replyContext) => {
      if (result.ok) reply({ ok: true, body: result.value }, replyContext)
      else reply({ ok: false, failure: result.failure, outcome: 'refused' }, replyContext)
    }
  }, context)
}

const handlers: { readonly [Kind in OperatorCall['kind']]: RequestHandler<Kind> } = {
  'settings.change': submitChange,
  'settings.get': ({ host, request, reply, context }) => {
    const { path, effective, explain, fresh } = request
    if (fresh) queryVoters({ host, query: { kind: 'settings', path, effective, explain }, fresh, reply, context })
    else reply({ ok: true, body: describeNode({ tree: host.systems.dissemination.getTree(), path, effective, explain }) }, context)
  },
  'settings.list': ({ host, request, reply, context }) => {
    reply({ ok: true, body: listSubtree({ tree: host.systems.dissemination.getTree(), path: request.path, limit: request.limit, after: request.after }) }, context)
  },
  'settings.status': ({ host, reply, context }) => {
    queryVoters({ host, query: { kind: 'settingsStatus' }, fresh: true, reply, context })
  },
  'audit.list': ({ host, request, reply, context }) => {
    const { afterSequence, limit, path, who } = request
    queryVoters({ host, query: { kind: 'audit', afterSequence, limit, path, who }, fresh: true, reply, context })
  },
  'claims.get': ({ host, request, reply, context }) => {
    queryVoters({ host, query: { kind: 'claim', claimKey: request.claimKey }, fresh: true, reply, context })
  },
  'claims.list': ({ host, request, reply, context }) => {
    queryVoters({ host, query: { kind: 'claims', state: request.state, limit: request.limit }, fresh: true, reply, context })
  },
  'claims.resolve': submitResolution,
  'voters.status': ({ host, reply, context }) => {
    queryVoters({ host, query: { kind: 'voters' }, fresh: false, reply, context })
  },
  'voters.replace': submitReplacement,
  status: ({ host, reply, context }) => { reply({ ok: true, body: describeHost(host, context) }, context) },
  'endpoints.list': ({ host, reply, context }) => { reply({ ok: true, body: host.systems.zone.describeEndpoints() }, context) },
  'zones.list': ({ host, reply, context }) => { reply({ ok: true, body: host.systems.zone.describeZones() }, context) },
  explain: ({ host, request, reply, context }) => {
    const record = host.systems.requests.explain(request.requestId)
    if (record !== undefined) {
      reply({ ok: true, body: record }, context)
      return
    }
    const failure: Failure = {
      code: ErrorCode.NOT_FOUND,
      step: 'explain',
      message: `this host has no record of request ${request.requestId}`,
      hint: 'the host that accepted the request has the record; its name is the part of the request id before the last dash'
    }
    reply({ ok: false, failure, outcome: 'refused' }, context)
  }
}

function describeHost (host: HostState, context: RunContext): Readonly<Record<string, unknown>> {
  const { dissemination, requests, zone, voting } = host.systems
  const cutOffSince = dissemination.view.getCutOffSince()
  return {
    host: host.opts.self.host,
    zone: host.opts.self.zone,
    region: host.opts.self.region,
    health: host.health,
    stopping: host.stopping,
    settingsRevision: dissemination.view.getRevision(),
    cutOffForMs: cutOffSince === undefined ? undefined : context.now - cutOffSince,
    activeRequests: requests.getActiveCount(),
    leaseHolder: zone.view.getLeaseHolder(),
    hosts: zone.view.listHosts(),
    links: Object.fromEntries(host.links),
    voter: voting === undefined ? undefined : voting.voter.getStatus(context.now)
  }
}

/** Handles an operator's query or command. The reply is emitted in this run, or in a later one when the voters have answered. */
export function handleOperatorRequest (host: HostState, opId: string, request: OperatorRequest, context: RunContext): void {
  const handler = handlers[request.kind] as RequestHandler<OperatorCall['kind']>
  const reply: Reply = (given, replyContext) => { replyContext.emit({ kind: 'operator.reply', opId, reply: given }) }
  handler({ host, request, reply, context })
}
