// Starts the project's program with the `run` line of the deploy file and its settings template.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findPorts } from './net.mjs';

/** Bounds of the small deployment `ezelpad-trek`. */
export const bounds = {
  'contact-ms': 4000,
  'config-apply-ms': 2500,
  'grace-s': 6,
  'loss-slack-ms': 200,
  'max-hold-ms': 10_000,
  'stop-timeout-ms': 900,
  'reclaim-ms': 3400,
  finish_s: 14,
  visible_ms: 3000,
};

export const platformLimits = {
  'writes-per-s': 600,
  'reads-per-s': 2000,
  'txn-ms': 5,
  'row-bytes': 65_536,
  'retention-s': 20,
};

const memoryMb = 350;
const portsPerInstance = 5;
const restartDelayMs = 500;

function findField(scopes, path) {
  if (path === '.') return scopes[0];
  const names = path.split('.');
  for (const scope of scopes) {
    let value = scope;
    for (const name of names) value = value?.[name];
    if (value !== undefined) return value;
  }
  return undefined;
}

/** Fills in a settings template as DEPLOY.md says; covers the placeholders that the project uses. */
function renderTemplate(text, scopes) {
  const withSections = text.replaceAll(
    /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/gu,
    (_all, kind, path, inner) => {
      const value = findField(scopes, path);
      const isSet = value !== undefined && value !== false;
      if (kind === '^') return isSet ? '' : renderTemplate(inner, scopes);
      return isSet ? renderTemplate(inner, [value, ...scopes]) : '';
    },
  );
  return withSections.replaceAll(/\{\{([^}]+)\}\}/gu, (_all, path) => {
    const value = findField(scopes, path);
    return value === undefined ? '' : String(value);
  });
}

function readRunLine() {
  const line = /^run = "(.*)"$/mu.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
  const [program, ...words] = line.split(' ');
  return { program: program === 'node' ? process.execPath : program, words };
}

/** Starts `count` instances, spread over `zones`, each a process of its own. */
export async function startInstances(options) {
  const { count, store, zones = ['z1'], advisor, record, logFile, firstPort } = options;
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const template = readFileSync('deploy/settings.json', 'utf8');
  const { program, words } = readRunLine();
  const ports = await findPorts(count * portsPerInstance, firstPort);
  const instances = [];
  const log = logFile === undefined ? undefined : createWriteStream(logFile);
  log?.setMaxListeners(0);
  let isClosing = false;

  function createInstance(index) {
    const [frontend, readiness, metrics, relay, control] = ports
      .slice(index * portsPerInstance, (index + 1) * portsPerInstance)
      .map((port) => `127.0.0.1:${port}`);
    const zone = zones[index % zones.length];
    const name = `edge-${zone}-${index}`;
    const path = join(directory, `${name}.json`);
    const settings = {
      'node-name': name,
      ip: '127.0.0.1',
      zone,
      region: zone,
      // The template takes the first two internal ports for metrics and relayed calls.
      'internal-ports': [metrics.split(':')[1], relay.split(':')[1]],
      'bind-addresses': { frontend, readiness, 'control-plane': control },
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': memoryMb },
      platform: { ...options.platform, address: store.address },
      recommendation: advisor?.address ?? '',
      'heartbeat-ms': 1500,
      bounds,
    };
    writeFileSync(path, renderTemplate(template, [settings]));
    const instance = { name, frontend, readiness, metrics, child: undefined, ends: 0, kills: 0 };

    function start() {
      if (isClosing) return;
      const child = spawn(program, words, {
        env: { PATH: process.env.PATH, HOME: process.env.HOME, BERGAMOTREACH_SETTINGS: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      instance.child = child;
      if (log !== undefined) {
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
      } else {
        child.stdout.resume();
        child.stderr.resume();
      }
      child.once('exit', (code, signal) => {
        instance.child = undefined;
        if (isClosing) return;
        instance.ends += 1;
        record('exit', {
          instance: name,
          code,
          signal,
          memoryKill: instance.isOverMemory === true,
        });
        instance.isOverMemory = false;
        setTimeout(start, instance.downMs ?? restartDelayMs);
        instance.downMs = undefined;
      });
    }

    instance.start = start;
    /** Kills the process; it starts again after `downMs`. */
    instance.kill = (downMs) => {
      record('kill', { instance: name, signal: 'SIGKILL', downMs });
      instance.downMs = downMs;
      instance.child?.kill('SIGKILL');
    };
    /** Resident memory in MB; 0 while the process is down. */
    instance.getMemoryMb = () => {
      try {
        const status = readFileSync(`/proc/${instance.child.pid}/status`, 'utf8');
        return Number(/VmRSS:\s+(\d+)/u.exec(status)[1]) / 1024;
      } catch {
        return 0;
      }
    };
    instance.isReady = async () => {
      try {
        return (await fetch(`http://${readiness}/ready`)).status === 200;
      } catch {
        return false;
      }
    };
    return instance;
  }

  for (let index = 0; index < count; index += 1) instances.push(createInstance(index));
  for (const instance of instances) instance.start();
  return {
    list: instances,
    directory,
    /** Kills processes that exceed the memory limit, as the platform does. */
    guardMemory: () => {
      const timer = setInterval(() => {
        for (const instance of instances) {
          const usedMb = instance.getMemoryMb();
          if (usedMb <= memoryMb || instance.isOverMemory === true) continue;
          instance.isOverMemory = true;
          instance.kills += 1;
          record('over-memory', { instance: instance.name, usedMb: Math.round(usedMb) });
          instance.child?.kill('SIGKILL');
        }
      }, 100);
      return () => clearInterval(timer);
    },
    close: async () => {
      isClosing = true;
      await Promise.all(
        instances.map(({ child }) => {
          if (child === undefined) return undefined;
          const ended = new Promise((resolve) => child.once('exit', resolve));
          child.kill('SIGCONT');
          child.kill('SIGKILL');
          return ended;
        }),
      );
      rmSync(directory, { recursive: true, force: true });
    },
  };
}
