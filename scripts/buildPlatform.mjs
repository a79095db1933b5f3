/** Bundles the program for the users' platform into one file with all its libraries. */
import { build } from 'esbuild'
import { mkdir } from 'node:fs/promises'

const OUTPUT = 'target/catkinferry-node.js'

await mkdir('target', { recursive: true })
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: OUTPUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  /** Optional native parts, which the libraries do without. */
  external: ['cbor-extract', 'unix-dgram'],
  /** Libraries in the older module format call `require` for the runtime's own modules. */
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
