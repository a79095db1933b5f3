/** Commands that list and change the adapters of a model and their versions. */
import { getArgument, getLimit, UsageError } from '../commandContext.ts'
import type { Command, CommandContext } from '../commandContext.ts'
import { submitChanges } from './changes.ts'

const MODELS_PATH = 'models'

function buildPath (context: CommandContext, segmentCount: number, name: string): string {
  const given = getArgument(context, 0, name)
  if (given.split('/').length !== segmentCount) throw new UsageError(`${given}: must be ${name}`)
  return `${MODELS_PATH}/${given}`
}

export const modelCommands: Readonly<Record<string, Command>> = {
  'adapters list': {
    usage: 'adapters list MODEL [--limit N] [--after NAME]',
    description: 'the adapters of a model',
    run: async context => await context.client.request({ kind: 'settings.list', path: buildPath(context, 1, 'MODEL'), limit: getLimit(context), after: context.flags.after })
  },
  'adapters create': {
    usage: 'adapters create MODEL/ADAPTER [--change-id ID]',
    description: 'creates an adapter without versions',
    run: async context => await submitChanges(context, [{ path: buildPath(context, 2, 'MODEL/ADAPTER'), expectedRevision: 0, values: {} }])
  },
  'adapters remove': {
    usage: 'adapters remove MODEL/ADAPTER [--expect REVISION] [--change-id ID]',
    description: 'removes an adapter without versions',
    run: async context => await submitChanges(context, [{ path: buildPath(context, 2, 'MODEL/ADAPTER'), remove: true }])
  },
  'versions list': {
    usage: 'versions list MODEL/ADAPTER [--limit N]',
    description: 'the versions of an adapter',
    run: async context => await context.client.request({ kind: 'settings.list', path: buildPath(context, 2, 'MODEL/ADAPTER'), limit: getLimit(context), after: context.flags.after })
  },
  'versions create': {
    usage: 'versions create MODEL/ADAPTER/VERSION --weights-uri URI --digest ALGORITHM:VALUE [--change-id ID]',
    description: 'creates a version; its weights cannot be changed afterwards',
    run: async context => {
      const { weightsUri, digest } = context.flags
      if (weightsUri === undefined || digest === undefined) throw new UsageError('--weights-uri and --digest are required')
      return await submitChanges(context, [{ path: buildPath(context, 3, 'MODEL/ADAPTER/VERSION'), expectedRevision: 0, values: { weightsUri, digest } }])
    }
  },
  'versions activate': {
    usage: 'versions activate MODEL/ADAPTER/VERSION [--expect REVISION] [--change-id ID]',
    description: 'makes the version serve requests that name no version',
    run: async context => {
      const path = buildPath(context, 3, 'MODEL/ADAPTER/VERSION')
      const slash = path.lastIndexOf('/')
      return await submitChanges(context, [{ path: path.slice(0, slash), values: { inForce: path.slice(slash + 1) } }])
    }
  },
  'versions remove': {
    usage: 'versions remove MODEL/ADAPTER/VERSION [--expect REVISION] [--change-id ID]',
    description: 'removes a version',
    run: async context => await submitChanges(context, [{ path: buildPath(context, 3, 'MODEL/ADAPTER/VERSION'), remove: true }])
  }
}
