import { setTimeout as sleep } from 'node:timers/promises';
import { ezelpadLayout, trinacriaLayout } from '@bergamotreach/standin';
import type { PlatformLayout } from '@bergamotreach/standin';
import { closeClient, startCluster, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';
import { createChecklist } from './checklist.ts';
import type { Checklist } from './checklist.ts';
import { computeGangSummary } from './gang.ts';
import { runLoad } from './load.ts';
import type { LoadResult } from './load.ts';
import { runProgram } from './program.ts';

/** An example deployment that the demo runs. */
interface Deployment {
  layout: PlatformLayout;
  folder: string;
  /** Accounts that send requests; the first one submits the gang job. */
  accounts: string[];
}

const daemonsPerRegion = 2;
const requestCount = 600;
const concurrency = 24;
const gangMembers = 6;
const gangAccelerators = 4;
const gangRunMs = 6000;
const startTimeoutMs = 10_000;
const jobTimeoutSeconds = '30';
const demoSeed = 7;

const deployments: Deployment[] = [
  {
    layout: ezelpadLayout,
    folder: 'examples/ezelpad',
    accounts: ['lamapost', 'veldroute', 'bergpad', 'dagtocht'],
  },
  {
    layout: trinacriaLayout,
    folder: 'examples/trinacria',
    accounts: ['vasche-etna', 'corallo', 'sale-marino', 'acquari-conca'],
  },
];

/** Token of an account in the example configurations. */
function getToken(deployment: Deployment, account = ''): string {
  return `${deployment.layout.name}-${account}-demo-token`;
}

function getRunningDaemon(cluster: Cluster): DaemonProcess {
  const running = cluster.daemons.find((daemon) => !daemon.hasExited());
  if (running === undefined) throw new Error('no daemon is running');
  return running;
}

async function applyConfig(cluster: Cluster, folder: string, checks: Checklist): Promise<void> {
  const url = cluster.getUrl(getRunningDaemon(cluster));
  const applied = await runProgram(url, ['config', 'apply', folder]);
  const output = `${applied.stdout}${applied.stderr}`.trim().split('\n')[0] ?? '';
  checks.check('configuration applied', applied.exitCode === 0, output);
  for (const daemon of cluster.daemons) {
    await waitUntil('configuration on every daemon', startTimeoutMs, async () => {
      const dump = await cluster.loadDump(daemon);
      return (dump.config as { revision: number }).revision > 0 ? true : undefined;
    });
  }
  checks.check('configuration in force on every daemon', true, `${cluster.daemons.length} daemons`);
}

async function submitGang(
  cluster: Cluster,
  deployment: Deployment,
  region: string,
  jobId: string,
): Promise<string> {
  const args = ['job', 'submit', '--id', jobId, '--region', region];
  const size = ['--members', String(gangMembers), '--accelerators', String(gangAccelerators)];
  const payload = ['--payload', JSON.stringify({ runMs: gangRunMs }), '--within', 'rack'];
  const url = cluster.getUrl(getRunningDaemon(cluster));
  const submitted = await runProgram(
    url,
    [...args, ...size, ...payload],
    getToken(deployment, deployment.accounts[0]),
  );
  if (submitted.exitCode !== 0) throw new Error(`job submit: ${submitted.stderr}`);
  return `${deployment.accounts[0] ?? ''}:${jobId}`;
}

async function killOwner(cluster: Cluster, region: string, checks: Checklist): Promise<void> {
  const owner = await cluster.findOwner(region);
  if (owner === undefined) throw new Error(`region ${region} has no owner`);
  owner.sendSignal('SIGKILL');
  await owner.exited;
  checks.check('owner killed', true, `${owner.settings.id} (SIGKILL) while the gang ran`);
}

function checkLoad(load: LoadResult, cluster: Cluster, checks: Checklist): void {
  const { sent, answered, unknown, retries, failures } = load;
  const isComplete = failures.length === 0 && answered + unknown === sent;
  const text = `${answered} of ${sent} answered, ${unknown} unknown, ${retries} sent again`;
  checks.check('every request got its own answer', isComplete, failures[0] ?? text);
  const runs = [...cluster.platform.endpoints.values()].map((endpoint) => endpoint.getStats().runs);
  const ranTwice = load.nonIdempotentIds.filter(
    (id) => runs.reduce((sum, counts) => sum + (counts[id] ?? 0), 0) > 1,
  );
  const count = load.nonIdempotentIds.length;
  checks.check('no non-idempotent request ran twice', ranTwice.length === 0, `${count} checked`);
  const peak = [...cluster.platform.endpoints.values()].map((one) => one.getStats().peakInProgress);
  const slots = Math.max(...peak);
  checks.check('slots never exceeded', slots <= 8, `at most ${slots} of 8 in use at an endpoint`);
}

async function checkGang(
  cluster: Cluster,
  deployment: Deployment,
  jobId: string,
  checks: Checklist,
): Promise<void> {
  const url = cluster.getUrl(getRunningDaemon(cluster));
  const args = ['job', 'wait', jobId, '--timeout', jobTimeoutSeconds];
  const waited = await runProgram(url, args, getToken(deployment, deployment.accounts[0]));
  checks.check('gang job completed', waited.exitCode === 0, waited.stderr.trim() || 'state done');
  const gang = computeGangSummary(cluster.platform, jobId, gangMembers);
  const text = `${gang.completedMembers} members on ${gang.workers.length} workers, ${gang.attempts} attempt(s)`;
  checks.check(
    'gang ran whole',
    gang.completedMembers === gangMembers && gang.partialAttempts === 0,
    text,
  );
}

async function stopDaemons(cluster: Cluster, checks: Checklist): Promise<void> {
  const running = cluster.daemons.filter((daemon) => !daemon.hasExited());
  for (const daemon of running) daemon.sendSignal('SIGTERM');
  const codes = await Promise.all(running.map((daemon) => daemon.exited));
  const isClean = codes.every((code) => code === 0);
  checks.check('daemons drained and exited', isClean, `exit codes ${codes.join(', ')}`);
}

async function runDeployment(deployment: Deployment, checks: Checklist): Promise<void> {
  const { layout } = deployment;
  const region = layout.regions[0]?.region ?? '';
  const cluster = await startCluster({ layout, daemonsPerRegion, seed: demoSeed });
  try {
    const { agents, endpoints } = cluster.platform;
    const size = `${agents.size} workers, ${endpoints.size} endpoints, ${layout.regions.length} regions`;
    checks.check(`started ${cluster.daemons.length} daemons`, true, size);
    await applyConfig(cluster, deployment.folder, checks);
    await waitUntil('an owner of the region', startTimeoutMs, async () =>
      cluster.findOwner(region),
    );
    const jobId = await submitGang(cluster, deployment, region, 'panel-study');
    await waitUntil('the gang', startTimeoutMs, async () => {
      await sleep(1);
      const gang = computeGangSummary(cluster.platform, jobId, gangMembers);
      return gang.attempts > 0 ? true : undefined;
    });
    checks.check(
      'gang started',
      true,
      `${gangMembers} members of ${gangAccelerators} accelerators`,
    );
    const tokens = deployment.accounts.map((account) => getToken(deployment, account));
    const { service } = layout;
    const load = runLoad({ cluster, service, tokens, count: requestCount, concurrency });
    await sleep(200);
    await killOwner(cluster, region, checks);
    checkLoad(await load, cluster, checks);
    await checkGang(cluster, deployment, jobId, checks);
    await stopDaemons(cluster, checks);
  } finally {
    await cluster.stop();
  }
}

async function runDemo(): Promise<number> {
  const checks = createChecklist();
  for (const deployment of deployments) {
    checks.startSection(deployment.layout.name);
    try {
      await runDeployment(deployment, checks);
    } catch (error) {
      checks.check('deployment ran', false, error instanceof Error ? error.message : String(error));
    }
  }
  await closeClient();
  return checks.printSummary();
}

process.exit(await runDemo());
