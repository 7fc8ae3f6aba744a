// Bundles the `vanillacross-node` program of the platform package into a single
// file, which starts without module resolution.

import {build} from 'esbuild';

const PACKAGES = ['common', 'domain', 'rollout'];

await build({
  entryPoints: {'vanillacross-node': 'platform/src/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  // Bundled CommonJS libraries call `require` for Node.js built-in modules.
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
  alias: Object.fromEntries(
    PACKAGES.map(name => [
      `@vanillacross/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  logLevel: 'warning',
});
