// Bundles the edition for the users' platform into target/bergamotreach.cjs or the given file.
import { mkdirSync } from 'node:fs';
import { dirname } from 'node:path';
import { buildBundle, earlySignals } from './bundle.mjs';

const [outfile = 'target/bergamotreach.cjs'] = process.argv.slice(2);
mkdirSync(dirname(outfile), { recursive: true });
await buildBundle('platform/main.ts', outfile, { banner: earlySignals });
