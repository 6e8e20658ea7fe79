// Bundles the gateway into one file: loading hundreds of modules took most of its start-up time, which counts at every restart.
import { build } from 'esbuild'

await build({
  entryPoints: { gateway: 'platform/main.ts', check: 'platform/check.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Bundled CommonJS packages call `require` for Node's own modules.
  banner: { js: "import { createRequire as requireFrom } from 'node:module';const require = requireFrom(import.meta.url);" },
  // Its CommonJS build resolves its own files at run time, which can't be bundled.
  external: ['ts-results'],
  // The native decoder takes longer to load than small datagrams gain from it.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning'
})
