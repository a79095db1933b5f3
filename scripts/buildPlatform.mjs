/** Bundles the program for the users' platform into one file with all its libraries. */
import { build } from 'esbuild'
import { mkdir, rename } from 'node:fs/promises'

const OUTPUT = 'target/catkinferry-node.js'
/** Renamed to `OUTPUT` when complete, so that a program that starts during the build finds a complete file. */
const TEMPORARY_OUTPUT = `target/catkinferry-node.${process.pid}.part.js`

await mkdir('target', { recursive: true })
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: TEMPORARY_OUTPUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  /** Optional native modules; the libraries work without them. */
  external: ['cbor-extract', 'unix-dgram'],
  /** CommonJS libraries call `require` for the built-in modules of Node.js. */
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" }
})
await rename(TEMPORARY_OUTPUT, OUTPUT)
