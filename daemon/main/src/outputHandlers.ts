/** Maps each kind of output of the host core to the component that executes it. */
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { EngineDriver } from '@catkinferry/endpoints.engine-driver'
import type { PlatformDriver } from '@catkinferry/endpoints.platform-driver'
import type { CallerApi } from '@catkinferry/gateway.caller-api'
import type { OperatorApi } from '@catkinferry/gateway.operator-api'
import type { HostEvent } from '@catkinferry/host.events'
import type { AttemptRegister } from './attemptRegister.ts'
import type { Disk } from './disk.ts'
import type { Links } from './links.ts'
import type { OutputHandlers } from './shell.ts'

export interface OutputHandlerOptions {
  readonly logger: Logger
  readonly metrics: Metrics
  readonly links: Links
  readonly disk: Disk | undefined
  readonly drivers: { readonly engines: EngineDriver, readonly platform: PlatformDriver }
  readonly attempts: AttemptRegister
  readonly callerApi: CallerApi
  readonly operatorApi: OperatorApi
  readonly emit: (event: HostEvent) => void
  readonly onStopped: () => void
}

export function createOutputHandlers (opts: OutputHandlerOptions): OutputHandlers {
  const { logger, metrics, links, disk, drivers, attempts, callerApi, operatorApi, emit } = opts
  return {
    'peer.send': ({ to, message }) => { links.send(to, message) },
    'attempt.start': attempts.start,
    'attempt.cancel': ({ attemptId }) => attempts.cancel(attemptId),
    'order.send': drivers.engines.sendOrder,
    'order.cut': ({ orderId }) => drivers.engines.cutOrder(orderId),
    'endpoint.poll': ({ endpoint, url }) => drivers.engines.pollEndpoint(endpoint, url),
    'platform.poll': drivers.platform.poll,
    'disk.request': ({ request }) => disk?.request(request, answer => emit({ kind: 'disk.answer', answer })),
    'caller.head': callerApi.receiveOutput,
    'caller.chunk': callerApi.receiveOutput,
    'caller.end': callerApi.receiveOutput,
    'caller.fail': callerApi.receiveOutput,
    'operator.reply': ({ opId, reply }) => operatorApi.receiveReply(opId, reply),
    log: ({ level, message, fields }) => logger.log(level, message, fields),
    metric: ({ type, name, value, tags }) => metrics[type](name, value, tags),
    'host.health': ({ ready, reason }) => callerApi.setHealth(ready, reason),
    'host.stopped': opts.onStopped
  }
}
