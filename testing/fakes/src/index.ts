/** Fake model engine, plain service, platform list and weight store for tests, measurements and local development. */
export * from './endlessServer.ts'
export * from './fakeEngine.ts'
export * from './fakeFaults.ts'
export * from './fakePlatform.ts'
export * from './fakeService.ts'
export * from './fakeStore.ts'
export * from './peakBudget.ts'
export * from './waitFor.ts'
