/**
 * Runs the model checker Spin on every specification, each explored completely, and checks that
 * every seeded protocol fault, and every literal reading of the design that the specifications
 * refute, violates the expected property.
 */
import { spawn } from 'node:child_process';
import { mkdir, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { parseOutput } from './output.ts';
import { Expectation, runs } from './runs.ts';
import type { Exploration } from './output.ts';
import type { Run } from './runs.ts';

const maxProcesses = 4;
const maxRunMs = 240_000;
const maxSearchDepth = 2_000_000;
const memoryLimitMb = 2_000;
const modelDirectory = import.meta.dirname;

interface Outcome {
  run: Run;
  exploration: Exploration;
  problem: string;
}

/** Runs a program in a directory, killed after `maxRunMs`, and returns its output. */
function runProgram(directory: string, program: string, args: string[]): Promise<string> {
  return new Promise((resolve) => {
    const child = spawn(program, args, { cwd: directory });
    const timer = setTimeout(() => child.kill('SIGKILL'), maxRunMs);
    const chunks: string[] = [];
    const collect = (chunk: Buffer) => chunks.push(chunk.toString());
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('error', (error) => chunks.push(`error: ${error.message}`));
    child.on('close', () => {
      clearTimeout(timer);
      resolve(chunks.join(''));
    });
  });
}

/** Describes how a run differs from its expectation; empty when it meets it. */
function checkExploration(run: Run, exploration: Exploration, output: string): string {
  if (run.expectation === Expectation.Holds) {
    if (exploration.violated !== '') return `violates ${exploration.violated}`;
    if (!exploration.isComplete) return `not explored completely: ${output.slice(-400)}`;
    return '';
  }
  if (exploration.violated === run.property) return '';
  return `expected a violation of ${run.property}, found ${exploration.violated || 'none'}`;
}

/** Generates, compiles and runs the checker of one specification. */
async function runChecker(run: Run, index: number): Promise<Outcome> {
  const directory = join(modelDirectory, 'work', `${index}-${run.specification}`);
  await rm(directory, { recursive: true, force: true });
  await mkdir(directory, { recursive: true });
  const defines = run.defines.map((define) => `-D${define}`);
  const source = join(modelDirectory, `${run.specification}.pml`);
  const generated = await runProgram(directory, 'spin', ['-a', ...defines, source]);
  const mode = run.isLiveness ? ['-DNFAIR=3'] : ['-DSAFETY', '-DNOCLAIM'];
  const compile = ['-O2', '-w', `-DMEMLIM=${memoryLimitMb}`, ...mode, '-o', 'pan', 'pan.c'];
  const compiled = await runProgram(directory, 'gcc', compile);
  const search = run.isLiveness ? ['-a', '-f', '-N', run.property] : [];
  const explored = await runProgram(directory, './pan', [`-m${maxSearchDepth}`, '-w22', ...search]);
  const exploration = parseOutput(explored, run.isLiveness ? run.property : '');
  const problem = checkExploration(run, exploration, generated + compiled + explored);
  await rm(join(directory, 'pan'), { force: true });
  return { run, exploration, problem };
}

/** Formats one row of the printed table. */
function formatOutcome({ run, exploration, problem }: Outcome): string {
  const cells = [
    run.specification.padEnd(10),
    run.expectation.padEnd(8),
    run.label.padEnd(26),
    (run.property || 'all assertions').padEnd(20),
    String(exploration.states).padStart(9),
    `${exploration.seconds.toFixed(1)} s`.padStart(8),
  ];
  return `${cells.join(' ')}  ${problem === '' ? 'ok' : `FAILED: ${problem}`}`;
}

/** Runs everything in up to `maxProcesses` processes and prints each outcome as it completes. */
async function runAll(): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  const queue = [...runs.entries()];
  const runQueued = async () => {
    for (let entry = queue.shift(); entry !== undefined; entry = queue.shift()) {
      const outcome = await runChecker(entry[1], entry[0]);
      console.log(formatOutcome(outcome));
      outcomes.push(outcome);
    }
  };
  await Promise.all(Array.from({ length: maxProcesses }, runQueued));
  return outcomes;
}

/** Lists the required programs that cannot be run. */
async function findMissingPrograms(): Promise<string[]> {
  const missing: string[] = [];
  for (const [program, flag] of [
    ['spin', '-V'],
    ['gcc', '--version'],
  ] as const) {
    const output = await runProgram(modelDirectory, program, [flag]);
    if (output.startsWith('error: ')) missing.push(program);
  }
  return missing;
}

const missing = await findMissingPrograms();
if (missing.length > 0) {
  console.error(
    `model: ${missing.join(' and ')} not found; install with: apt-get install spin gcc`,
  );
  process.exit(1);
}
const startedAt = performance.now();
const outcomes = await runAll();
const failed = outcomes.filter((outcome) => outcome.problem !== '');
const states = outcomes.reduce((sum, outcome) => sum + outcome.exploration.states, 0);
const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
console.log(`${outcomes.length} runs, ${states} states, ${seconds} s, ${failed.length} failed`);
process.exitCode = failed.length === 0 ? 0 : 1;
