import { expect } from 'earl'
import { describe, it } from 'node:test'
import { checkArguments } from '../src/checkArguments.ts'

describe('checkArguments', () => {
  it('refuses an argument that is not in the usage, and names it', () => {
    expect(() => { checkArguments('adapters create MODEL/ADAPTER [--change-id ID]', ['base/greeter', 'v1']) }).toThrow('unexpected argument: v1')
    expect(() => { checkArguments('status', ['now']) }).toThrow('unexpected argument: now')
  })

  it('allows the arguments of the usage, and any number where it has dots after one', () => {
    checkArguments('claims resolve KEY --as done|notRun --note TEXT [--change-id ID]', ['k1'])
    checkArguments('settings set PATH KEY=VALUE... [--dry-run]', ['fleet', 'a=1', 'b=2'])
    expect(() => { checkArguments('settings diff --file FILE', ['x']) }).toThrow('unexpected argument: x')
  })
})
