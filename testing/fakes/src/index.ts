/** Small fake engine, service and platform over HTTP. */
export * from './fakeEngine.ts'
export * from './fakeFaults.ts'
export * from './fakePlatform.ts'
export * from './fakeService.ts'
export * from './fakeStore.ts'
