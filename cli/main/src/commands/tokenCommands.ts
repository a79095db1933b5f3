/** Commands that create operator tokens. They need no host. */
import { OperatorRole } from '@catkinferry/core.types'
import { createOperatorToken } from '@catkinferry/gateway.operator-api'
import { getArgument, UsageError } from '../commandContext.ts'
import type { Command } from '../commandContext.ts'

export const tokenCommands: Readonly<Record<string, Command>> = {
  'tokens create': {
    usage: 'tokens create NAME --role read|write|admin',
    description: 'creates an operator token and the entry for the tokens file',
    run: async context => {
      const name = getArgument(context, 0, 'NAME')
      const role = Object.values(OperatorRole).find(value => value === context.flags.role)
      if (role === undefined) throw new UsageError('--role must be read, write or admin')
      return { ok: true, body: await createOperatorToken(name, role) }
    }
  }
}
