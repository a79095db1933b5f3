/** Per-caller admission: a token bucket for the rate and a bound on concurrent requests. */
export * from './admission.ts'
