/** Types shared by all packages. */
export * from './accounts.ts'
export * from './addresses.ts'
export * from './ids.ts'
export * from './requests.ts'
export * from './endpoints.ts'
export * from './operators.ts'
export * from './routes.ts'
export * from './views.ts'
