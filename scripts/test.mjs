// Runs the given test files, or all, with the test runner of Node.js. Files listed in KNOWN-RED.txt
// are run, printed and allowed to fail; any other failure fails the run. Tests that bound the memory of a
// process under a crowd run after all others, one at a time, since other load would change what they measure.
import { readFileSync, existsSync, readdirSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { spawnSync } from 'node:child_process';

function listTestFiles(dir) {
  return readdirSync(dir).flatMap((name) => {
    const path = join(dir, name);
    if (name === 'node_modules') return [];
    if (statSync(path).isDirectory()) return listTestFiles(path);
    return path.endsWith('.test.ts') ? [path] : [];
  });
}

function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return [];
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).split(' ')[0]);
}

const crowdFolder = join('tests', 'crowds');

function runFiles(files, concurrency = 6) {
  if (files.length === 0) return 0;
  const args = ['--import', 'tsx', '--test', `--test-concurrency=${concurrency}`, ...files];
  return spawnSync(process.execPath, args, { stdio: 'inherit' }).status ?? 1;
}

function printKnownRedSeeds() {
  if (!existsSync('KNOWN-RED.txt')) return;
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  for (const line of lines.filter((entry) => entry.startsWith('seed: '))) {
    console.log(`known red (KNOWN-RED.txt), not part of CI: ${line.slice('seed: '.length)}`);
  }
}

const requested = process.argv.slice(2);
const knownRed = readKnownRed();
const files = (
  requested.length > 0 ? requested : [...listTestFiles('packages'), ...listTestFiles('platform')]
).sort();
const requiredFiles = files.filter((file) => !knownRed.includes(file));
const isCrowd = (file) => file.includes(crowdFolder);
const statuses = [
  runFiles(requiredFiles.filter((file) => !isCrowd(file))),
  runFiles(requiredFiles.filter(isCrowd), 1),
];
printKnownRedSeeds();
for (const file of files.filter((name) => knownRed.includes(name))) {
  console.log(`known red (KNOWN-RED.txt): ${file}`);
  const isRed = runFiles([file]) !== 0;
  if (!isRed) console.log(`${file} passes now: remove its entry from KNOWN-RED.txt`);
}
process.exit(Math.max(...statuses));
