import { createDisposableStore, createDueTimes, createTable } from '@catkinferry/core.tables'
import { expect } from 'earl'
import { describe, it } from 'node:test'

describe('createTable', () => {
  it('returns each dirty id once', () => {
    const table = createTable<string, number>()
    table.put('a', 1)
    table.put('a', 2)
    table.put('b', 3)
    expect(table.takeDirty()).toEqual(['a', 'b'])
    expect(table.takeDirty()).toEqual([])
  })

  it('clears the dirty mark of a removed row', () => {
    const table = createTable<string, number>()
    table.put('a', 1)
    table.remove('a')
    expect(table.takeDirty()).toEqual([])
  })
})

describe('createDueTimes', () => {
  it('returns keys in order of the due time that was set last', () => {
    const due = createDueTimes<string>()
    due.set('a', 10)
    due.set('b', 5)
    due.set('a', 1)
    expect(due.getNextAt()).toEqual(1)
    expect(due.takeDue(7)).toEqual(['a', 'b'])
    expect(due.takeDue(100)).toEqual([])
  })

  it('does not return a cleared key', () => {
    const due = createDueTimes<string>()
    due.set('a', 10)
    due.clear('a')
    expect(due.getNextAt()).toEqual(undefined)
    expect(due.takeDue(20)).toEqual([])
  })
})

describe('createDisposableStore', () => {
  it('disposes of all resources in reverse order, even if one fails', async () => {
    const store = createDisposableStore()
    const order: string[] = []
    store.add(() => { order.push('first') })
    store.add(() => { throw new Error('broken') })
    store.add(() => { order.push('last') })
    await expect(store.dispose()).toBeRejectedWith(AggregateError)
    expect(order).toEqual(['last', 'first'])
  })
})
