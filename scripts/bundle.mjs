// Options and plugins that the bundles of the program and of its platform edition share.
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

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

/** Bundles one entry point into one file. */
export async function buildBundle(entryPoint, outfile, options = {}) {
  await build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    plugins: [leanUndici, absentAddOns],
    // The source text stays in the heap, so a smaller one saves resident memory.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: 'warning',
    ...options,
  });
}

/** Heap flags, which must be set before anything is loaded. */
export const heapFlags = { js: readFileSync('scripts/heapflags.cjs', 'utf8') };

/** Signal handlers, which must be set before anything is loaded. */
export const earlySignals = { js: readFileSync('scripts/earlysignals.cjs', 'utf8') };
