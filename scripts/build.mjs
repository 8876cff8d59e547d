// Bundles the program into dist/bergamotreach.cjs and, unless --bundle-only is given, injects it
// into a copy of Node.js as a single executable dist/bergamotreach.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';
import { inject } from 'postject';

const outDir = 'dist';
const bundlePath = `${outDir}/bergamotreach.cjs`;
const binaryPath = `${outDir}/bergamotreach`;
const blobPath = `${outDir}/sea.blob`;
const seaConfigPath = `${outDir}/sea-config.json`;
const seaFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

// Optional native add-ons of the libraries; each library loads without them. A module that throws
// stands in for them, because a single executable warns about each require of a module on disk.
const absentAddOns = {
  name: 'absent-add-ons',
  setup(bundle) {
    const filter = /^(dtrace-provider|mv|unix-dgram|cbor-extract|source-map-support)$/;
    const contents = 'throw new Error("optional add-on is not bundled");';
    bundle.onResolve({ filter }, ({ path }) => ({ path, namespace: 'absent' }));
    bundle.onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents, loader: 'js' }));
  },
};

// An alias would also match undici/lib/..., so the exact name is resolved by a plugin.
const leanUndici = {
  name: 'lean-undici',
  setup(bundle) {
    const path = resolve('scripts/undici-lean.cjs');
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path }));
  },
};

async function buildBundle() {
  await build({
    entryPoints: ['packages/cli/src/main.ts'],
    outfile: bundlePath,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    plugins: [leanUndici, absentAddOns],
    // Heap flags must be set before anything is loaded.
    banner: { js: readFileSync('scripts/heapflags.cjs', 'utf8') },
    // The source text stays in the heap, so a smaller one saves resident memory.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: 'warning',
  });
}

async function buildBinary() {
  const config = { main: bundlePath, output: blobPath, disableExperimentalSEAWarning: true };
  writeFileSync(seaConfigPath, JSON.stringify(config));
  execFileSync(process.execPath, ['--experimental-sea-config', seaConfigPath], {
    stdio: 'inherit',
  });
  copyFileSync(process.execPath, binaryPath);
  chmodSync(binaryPath, 0o755);
  await inject(binaryPath, 'NODE_SEA_BLOB', readFileSync(blobPath), { sentinelFuse: seaFuse });
}

mkdirSync(outDir, { recursive: true });
await buildBundle();
console.log(`built ${bundlePath}`);
if (!process.argv.includes('--bundle-only')) {
  await buildBinary();
  console.log(`built ${binaryPath}`);
}
