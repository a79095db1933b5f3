/** Bundles the two binaries for `npm run build`; libraries stay external and are loaded from node_modules. */
import { build } from 'esbuild'
import { chmod, readFile } from 'node:fs/promises'

const BINARIES = [
  { entry: 'daemon/main/src/main.ts', output: 'daemon/main/dist/catkinferryd.js' },
  { entry: 'cli/main/src/main.ts', output: 'cli/main/dist/catkinferry.js' }
]

/** Keeps every import from node_modules external, except the packages of this workspace. */
const keepLibrariesExternal = {
  name: 'keep-libraries-external',
  setup (bundler) {
    bundler.onResolve({ filter: /^[^./]/ }, ({ path, kind }) => {
      if (kind === 'entry-point' || path.startsWith('@catkinferry/')) return undefined
      return { path, external: true }
    })
  }
}

const { version } = JSON.parse(await readFile('package.json', 'utf8'))

for (const { entry, output } of BINARIES) {
  await build({
    entryPoints: [entry],
    outfile: output,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: true,
    logLevel: 'warning',
    banner: { js: '#!/usr/bin/env node' },
    define: { 'process.env.CATKINFERRY_VERSION': JSON.stringify(version) },
    plugins: [keepLibrariesExternal]
  })
  await chmod(output, 0o755)
}
