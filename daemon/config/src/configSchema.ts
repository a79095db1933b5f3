/** Schema of the settings file of a host. */
import * as z from 'zod'

/** Name of a host, zone, region, group, route or client account. */
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and dashes')

/** `ip:port`, with an IPv6 address in brackets. */
const addressSchema = z.string().regex(/^(\[[0-9a-fA-F:]+\]|\d{1,3}(\.\d{1,3}){3}):\d{1,5}$/, 'must be IP:PORT')

const peerSchema = z.strictObject({ host: nameSchema, zone: nameSchema, region: nameSchema, address: addressSchema })

const endpointSchema = z.strictObject({
  endpoint: z.string().min(1),
  kind: z.enum(['engine', 'service']),
  zone: nameSchema,
  region: nameSchema,
  url: z.url({ protocol: /^http$/ }),
  pool: z.string().min(1),
  model: z.string().min(1).optional()
})

const serviceSchema = z.strictObject({
  route: nameSchema,
  pathPrefix: z.string().regex(/^\/[^?#]*$/, 'must be a path'),
  idempotent: z.boolean()
})

const tlsSchema = z.strictObject({ certificate: z.string().min(1), key: z.string().min(1), authority: z.string().min(1) })

const callerSchema = z.strictObject({ caller: nameSchema, tokenSha256: z.string().regex(/^[0-9a-fA-F]{64}$/, 'must be 64 hexadecimal digits') })

/** The file after its include has been merged. */
export const configSchema = z.strictObject({
  host: nameSchema,
  zone: nameSchema,
  region: nameSchema,
  /** The host's node in the fleet tree. */
  path: z.string().regex(/^fleet\/[^/]+\/[^/]+\/[^/]+\/[^/]+$/, 'must be fleet/REGION/ZONE/RACK/HOST'),
  group: nameSchema,
  listen: z.strictObject({ caller: addressSchema, operator: addressSchema, peer: addressSchema }),
  peers: z.array(peerSchema).min(1),
  voters: z.array(nameSchema).min(1),
  leaseVoters: z.array(nameSchema).min(1),
  dataFolder: z.string().min(1).optional(),
  tls: tlsSchema.optional(),
  /** File of operator tokens, created by `catkinferry tokens create`. */
  operatorTokens: z.string().min(1).optional(),
  callers: z.array(callerSchema).default([]),
  services: z.array(serviceSchema).default([]),
  /** Source of the endpoints: either the platform's URL or the fixed list `endpoints`. */
  platform: z.strictObject({ url: z.url({ protocol: /^http$/ }) }).optional(),
  endpoints: z.array(endpointSchema).optional(),
  logs: z.strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') }).default({ level: 'info' }),
  metrics: z.strictObject({ agent: addressSchema, prefix: z.string().default('catkinferry.') }).optional(),
  /** Allows peers without TLS and operators without tokens on non-loopback addresses. */
  allowInsecure: z.boolean().default(false)
})

export type Config = z.infer<typeof configSchema>
export type PeerConfig = z.infer<typeof peerSchema>
