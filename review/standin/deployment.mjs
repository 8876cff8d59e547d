// Starts a small deployment on loopback addresses: the store, workers, and the instances of the product with
// the run line and the settings template of the deploy file.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { startProxy } from './proxy.mjs';
import { heartbeatMs, startStore } from './store.mjs';
import { startWorker } from './worker.mjs';

export const maxHoldMs = 10_000;
const bounds = {
  'max-hold-ms': maxHoldMs,
  'reclaim-ms': 3400,
  'stop-timeout-ms': 900,
  'grace-s': 6,
};
const readyTimeoutMs = 15_000;
/** The platform starts a process that has ended again after a short delay. */
const restartDelayMs = 500;

function getField(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Fills in the template of the settings file. */
function renderTemplate(text, fields) {
  const sections = /\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/gsu;
  return text
    .replace(sections, (_all, path, inner) => {
      const value = getField(fields, path);
      return value === undefined ? '' : inner.replace('{{.}}', String(value));
    })
    .replace(/\{\{([\w.-]+)\}\}/gu, (_all, path) => String(getField(fields, path) ?? ''));
}

// Below the ports of outgoing connections, one of which could take a port while its process is down.
const firstPort = 12_000;
/** Each process that runs a case searches a range of its own, so that several cases can run at once. */
const rangeCount = 180;
const portsPerRange = 100;
let nextPort = firstPort + (process.pid % rangeCount) * portsPerRange;

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

async function findFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Processes that were started and have not ended. */
const children = new Set();

function abort(reason) {
  for (const child of children) child.kill('SIGKILL');
  process.stderr.write(`the case could not run: ${String(reason)}\n`);
  process.exit(2);
}

process.on('SIGTERM', abort);
process.on('SIGINT', abort);
process.on('uncaughtException', (error) => abort(error.stack));
process.on('unhandledRejection', (error) => abort(error?.stack ?? error));

/** Sends one request; resolves with its status and JSON body, with status 0 if there is no whole answer. */
export function send(address, method, path, { host, headers = {}, body, timeoutMs = 3000 } = {}) {
  return new Promise((resolve) => {
    const [hostname, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const contentType = text === undefined ? {} : { 'content-type': 'application/json' };
    const all = { ...contentType, ...(host === undefined ? {} : { host }), ...headers };
    const outgoing = sendRequest(
      { hostname, port, method, path, headers: all, timeout: timeoutMs, agent: false },
      (response) => {
        let content = '';
        response.on('data', (chunk) => {
          content += chunk;
        });
        response.on('end', () => {
          let parsed;
          try {
            parsed = JSON.parse(content);
          } catch {
            parsed = undefined;
          }
          resolve({ status: response.statusCode, body: parsed, text: content });
        });
        response.on('error', () => resolve({ status: 0 }));
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve({ status: 0 }));
    outgoing.end(text);
  });
}

/**
 * Starts the deployment. `workload` gives the work and the accelerators of a task, `placeWorker` the service and
 * the rack of a worker.
 */
export async function startDeployment({
  instanceCount,
  workerCount,
  config,
  workload,
  placeWorker = (index) => ({
    service: config.services[0].name,
    rack: `r1-${Math.floor(index / 8)}`,
  }),
}) {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const startedAt = performance.now();
  const lines = [];
  const record = (text) => {
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}`);
  };
  const store = await startStore(record);
  store.put('op', 'config', config);
  const runs = [];
  const workers = [];
  for (let index = 0; index < workerCount; index += 1) {
    workers.push(
      await startWorker({
        id: `i-${(0x7f3a91c0 + index).toString(16)}`,
        ...placeWorker(index),
        zone: 'zone-a',
        store,
        runs,
        maxHoldMs,
        onEvent: record,
        ...workload,
      }),
    );
    // Heartbeats of different workers fall on different times.
    await wait(heartbeatMs / workerCount);
  }
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const command = /^run = "(.*)"$/mu.exec(deploy)[1].split(' ');
  const template = readFileSync(/^template = "(.*)"$/mu.exec(deploy)[1], 'utf8');
  const instances = [];
  let isClosing = false;

  async function startInstance(index) {
    const [frontend, readiness, metrics, relay] = await findFreePorts(4);
    const proxy = await startProxy(store.port);
    const name = `edge-zone-a-${index + 1}`;
    const fields = {
      'node-name': name,
      zone: 'zone-a',
      region: 'region-a',
      ip: '127.0.0.1',
      'internal-ports': [metrics, relay],
      'bind-addresses': { frontend: `127.0.0.1:${frontend}`, readiness: `127.0.0.1:${readiness}` },
      limits: { 'cpu-share': 0.675, cores: 1 },
      platform: { address: proxy.address, 'writes-per-s': 600 },
      'heartbeat-ms': heartbeatMs,
      bounds,
    };
    const path = join(directory, `${name}.json`);
    writeFileSync(path, renderTemplate(template, fields));
    const log = createWriteStream(join(directory, `${name}.log`));
    const instance = { name, proxy, address: fields['bind-addresses'].frontend };
    instance.readiness = fields['bind-addresses'].readiness;
    instance.metrics = `127.0.0.1:${metrics}`;
    instance.start = () => {
      const child = spawn(command[0], command.slice(1), {
        env: { PATH: process.env.PATH, HOME: directory, BERGAMOTREACH_SETTINGS: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.pipe(log, { end: false });
      child.stderr.pipe(log, { end: false });
      children.add(child);
      child.exited = new Promise((resolve) => {
        child.once('exit', (code, signal) => {
          children.delete(child);
          resolve(signal ?? code);
          if (isClosing || instance.isRestarting) return;
          record(`${name} ended by itself, ${String(signal ?? code)}; it is started again`);
          setTimeout(() => {
            if (!isClosing) instance.start();
          }, restartDelayMs);
        });
      });
      instance.child = child;
    };
    /** Kills the process; the platform starts it again after a short delay. */
    instance.killAndRestart = async (delayMs) => {
      instance.isRestarting = true;
      instance.child.kill('SIGKILL');
      await instance.child.exited;
      await wait(delayMs);
      instance.isRestarting = false;
      if (!isClosing) instance.start();
    };
    instance.start();
    instances.push(instance);
  }

  for (let index = 0; index < instanceCount; index += 1) await startInstance(index);

  async function waitUntilReady() {
    const endAt = performance.now() + readyTimeoutMs;
    for (const { readiness } of instances) {
      while ((await send(readiness, 'GET', '/ready')).status !== 200) {
        if (performance.now() > endAt) return false;
        await wait(100);
      }
    }
    return true;
  }

  /** Instance that holds the lease, by its state dump. */
  async function findOwner() {
    for (const instance of instances) {
      const { body } = await send(instance.metrics, 'GET', '/dump', { timeoutMs: 500 });
      if (body?.lease === 'holding') return instance;
    }
    return undefined;
  }

  return {
    directory,
    store,
    workers,
    instances,
    runs,
    record,
    waitUntilReady,
    findOwner,
    getElapsedMs: () => performance.now() - startedAt,
    formatTime: (at) => `${((at - startedAt) / 1000).toFixed(3)} s`,
    /** Ends everything that was started and writes the record. */
    async close(recordPath) {
      isClosing = true;
      for (const { child, proxy } of instances) {
        child.kill('SIGKILL');
        await child.exited;
        proxy.close();
      }
      for (const worker of workers) worker.close();
      store.close();
      writeFileSync(recordPath, `${lines.join('\n')}\n`);
      if (process.env.KEEP_LOGS === undefined) rmSync(directory, { recursive: true, force: true });
    },
  };
}
