/** Metrics of entry hosts and core hosts. The operations page documents each of them. */
import type { MetricRow } from '@catkinferry/core.metrics-page'

export const METRICS_PREFIX = 'catkinferry_'

export const FLEET_METRICS: Readonly<Record<string, MetricRow>> = {
  answers: { type: 'counter', help: 'Requests that have ended, by status; cut: broken off after the head, gone: the caller left', labels: ['status'] },
  attempts: { type: 'counter', help: 'Sends to endpoints, by how they ended', labels: ['end'] },
  host_ended_attempts: { type: 'counter', help: 'Sends to endpoints that this host ended itself, by reason and by what followed', labels: ['reason', 'outcome'] },
  cuts: { type: 'counter', help: 'Responses that this host broke off after their head, by cause', labels: ['cause'] },
  requests_sent: { type: 'counter', help: 'Sends to endpoints, by distance: in the own zone, in another zone of the region, in another region', labels: ['distance'] },
  forwards: { type: 'counter', help: 'Requests forwarded to other entry hosts, by how that ended', labels: ['end'] },
  account_checks: { type: 'counter', help: 'Requests that need a key, by what the check of the account found', labels: ['outcome'] },
  stream_origins: { type: 'counter', help: 'Requests to resume a stream, by whether its software version was found, unknown or unanswered', labels: ['origin'] },
  request_ms: { type: 'histogram', help: 'Time from a request\'s arrival to its end in milliseconds, by first digit of the status', labels: ['status'] },
  first_byte_ms: { type: 'histogram', help: 'Time from a send to the head of the answer in milliseconds' },
  load_wait_ms: { type: 'histogram', help: 'Time that requests waited for an engine to load their adapter, in milliseconds' },
  orders: { type: 'counter', help: 'Orders to engines, by outcome', labels: ['outcome'] },
  late_order_responses: { type: 'counter', help: 'Responses to orders that came after the time limit, by outcome', labels: ['outcome'] },
  adapter_requests: { type: 'counter', help: 'Callers that waited for an adapter to be loaded, by what they were told: granted, overloaded, overdue or leaderChanged; on the leader', labels: ['outcome', 'priority'] },
  adapter_loads: { type: 'counter', help: 'Adapter loads that began: for callers, for adapters refused again and again (starved), or while no caller waits (ahead); on the leader', labels: ['cause'] },
  adapter_refusals_before_load: { type: 'histogram', help: 'Refused callers of an adapter before it was loaded, where there were any; on the leader' },
  adapters_never_loaded: { type: 'gauge', help: 'Adapters refused four times or more over 8 s and not loaded since, by the most urgent priority of their callers; on the leader', labels: ['priority'] },
  list_reads: { type: 'counter', help: 'Reads of the platform\'s list, by outcome', labels: ['outcome'] },
  commands: { type: 'counter', help: 'Commands of operators, by outcome', labels: ['outcome'] },
  account_units_asked: { type: 'counter', help: 'Units of their quota that accounts have asked for, less those given back; on the leader', labels: ['account'] },
  account_units_admitted: { type: 'counter', help: 'Units of their quota that accounts were admitted, less those given back; on the leader', labels: ['account'] },
  account_units_refused: { type: 'counter', help: 'Units that were refused because of the quota of the account; on the leader', labels: ['account'] },
  account_share: { type: 'gauge', help: 'Share of the units asked for that may be admitted; on the leader, of limited accounts only', labels: ['account'] },
  ready: { type: 'gauge', help: '1 while the host takes new callers' },
  leader: { type: 'gauge', help: '1 while this host leads' },
  routes_version: { type: 'gauge', help: 'Version of the routes in force here' },
  confirmation_age_ms: { type: 'gauge', help: 'Time in milliseconds since the route table was last known to be the newest; 0 if keys need no confirmation' },
  late_turn_ms: { type: 'histogram', help: 'How late the event loop of an entry host turned, where it was over 50 ms late, in milliseconds' },
  caller_connections_closed: { type: 'counter', help: 'Connections of callers and of other entry hosts that this host closed, by cause', labels: ['cause'] },
  memory_held_bytes: { type: 'gauge', help: 'Bytes that an entry host holds for others, by use: responses of endpoints and peers, what waits for callers to read it, and remembered event IDs', labels: ['use'] },
  memory_refusals: { type: 'counter', help: 'Messages that an entry host ended because their bytes may not be held, by use and limit: of their owner, of all, or evicted for others', labels: ['use', 'limit'] },
  active_requests: { type: 'gauge', help: 'Requests under way' },
  log_lines_dropped: { type: 'gauge', help: 'Log lines dropped because the reader was too slow' }
}
