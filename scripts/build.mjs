// Bundles the program into dist/bergamotreach.cjs and, unless --bundle-only is given, injects it
// into a copy of Node.js as a single executable dist/bergamotreach.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { inject } from 'postject';
import { buildBundle, heapFlags } from './bundle.mjs';

const outDir = 'dist';
const bundlePath = `${outDir}/bergamotreach.cjs`;
const binaryPath = `${outDir}/bergamotreach`;
const blobPath = `${outDir}/sea.blob`;
const seaConfigPath = `${outDir}/sea-config.json`;
const seaFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

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
await buildBundle('packages/cli/src/main.ts', bundlePath, { banner: heapFlags });
console.log(`built ${bundlePath}`);
if (!process.argv.includes('--bundle-only')) {
  await buildBinary();
  console.log(`built ${binaryPath}`);
}
