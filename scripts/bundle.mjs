// Bundler options and plugins shared by the program and its platform edition.
import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

// Optional native add-ons, which their libraries work without. Each is replaced by a module that
// throws, because a single executable prints a warning when it requires a module from disk.
const optionalAddOns = {
  name: 'absent-add-ons',
  setup(bundle) {
    const filter = /^(dtrace-provider|mv|unix-dgram|cbor-extract|source-map-support)$/;
    const contents = 'throw new Error("optional add-on is not bundled");';
    bundle.onResolve({ filter }, ({ path }) => ({ path, namespace: 'absent' }));
    bundle.onLoad({ filter: /.*/, namespace: 'absent' }, () => ({ contents, loader: 'js' }));
  },
};

// Resolves the exact name "undici" in a plugin, because an alias would also match undici/lib/...
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
    plugins: [leanUndici, optionalAddOns],
    // V8 keeps the source text in the heap, so a smaller bundle saves resident memory.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: 'warning',
    ...options,
  });
}

/** Banner that sets the heap flags before any module is loaded. */
export const heapFlags = { js: readFileSync('scripts/heapflags.cjs', 'utf8') };

/** Banner that installs signal handlers before any module is loaded. */
export const earlySignals = { js: readFileSync('scripts/earlysignals.cjs', 'utf8') };
