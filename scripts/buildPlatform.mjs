/** Bundles the program for the users' platform into one file with all its libraries. */
import { build } from 'esbuild'
import { mkdir, rename } from 'node:fs/promises'

const OUTPUT = 'target/catkinferry-node.js'
/** Put in place at once, so that a program that starts meanwhile finds a whole file. */
const PARTIAL = `target/catkinferry-node.${process.pid}.part.js`

await mkdir('target', { recursive: true })
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: PARTIAL,
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
await rename(PARTIAL, OUTPUT)
