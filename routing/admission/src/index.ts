/** Per-caller admission: a token bucket for the rate and a limit on concurrent requests. */
export * from './admission.ts'
