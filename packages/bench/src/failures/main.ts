import { parseArgs } from 'node:util';
import { closeClient } from '../cluster/index.ts';
import { runScenario } from './scenario.ts';
import type { ScenarioResult } from './scenario.ts';

/** Formats the result of a scenario as one line. */
function formatResult({ name, seed, violations, figures }: ScenarioResult): string {
  const pairs = Object.entries(figures).map(([key, value]) => `${key}=${value}`);
  const reasons = violations.length === 0 ? '' : `  ${violations.join('; ')}`;
  const word = violations.length === 0 ? 'ok  ' : 'FAIL';
  return `${word} ${name} seed=${seed} ${pairs.join(' ')}${reasons}`;
}

/** Runs a scenario; an exception becomes a violation. */
async function tryScenario(name: string, seed: number): Promise<ScenarioResult> {
  try {
    return await runScenario(name, seed);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { name, seed, violations: [`scenario did not run: ${message}`], figures: {} };
  }
}

const usage = 'usage: npm run failures -- FAULT[+FAULT] ... [--seed N]';
const { values, positionals } = parseArgs({
  options: {
    seed: { type: 'string', default: '7' },
    help: { type: 'boolean', default: false },
  },
  allowPositionals: true,
});
if (values.help) {
  console.log(usage);
  process.exit(0);
}
let exitCode = positionals.length === 0 ? 1 : 0;
if (exitCode !== 0) console.error(usage);
for (const name of positionals) {
  const result = await tryScenario(name, Number(values.seed));
  console.log(formatResult(result));
  if (result.violations.length > 0) exitCode = 1;
}
await closeClient();
process.exit(exitCode);
