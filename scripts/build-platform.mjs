// Bundles the edition for the users' platform into target/bergamotreach.cjs.
import { mkdirSync } from 'node:fs';
import { buildBundle } from './bundle.mjs';

mkdirSync('target', { recursive: true });
await buildBundle('platform/main.ts', 'target/bergamotreach.cjs');
