import { callHttp, callJson, operatorToken, waitUntil } from '../cluster/index.ts';
import type { DaemonProcess } from '../cluster/index.ts';
import type { ScenarioContext } from './context.ts';

const roundCount = 4;
// The design promises that a change is in force everywhere within seconds: 7 s at the design size.
const inForceTimeoutMs = 7000;

interface ConfigChange {
  daemon: DaemonProcess;
  file: string;
  baseRevision: number;
}

async function loadRevision(context: ScenarioContext, daemon: DaemonProcess): Promise<number> {
  const url = `${context.cluster.getUrl(daemon)}/v1/config`;
  return (await callJson<{ revision: number }>(url, { token: operatorToken })).revision;
}

/** Submits a change; returns its revision, or 0 if it was not accepted. */
async function sendChange(context: ScenarioContext, change: ConfigChange): Promise<number> {
  const { daemon, file, baseRevision } = change;
  const content = JSON.stringify({ limits: { defaultRequestMs: 9000 + baseRevision } });
  const response = await callHttp(`${context.cluster.getUrl(daemon)}/v1/config`, {
    method: 'POST',
    token: operatorToken,
    body: { baseRevision, put: { [file]: content }, remove: [], operationId: file },
  }).catch(() => undefined);
  if (response === undefined || response.status > 299) return 0;
  return (JSON.parse(response.body) as { revision: number }).revision;
}

/**
 * Submits competing changes of the same base revision through two daemons, several times. No two
 * accepted changes may share a revision, and the last one must come into force on every daemon.
 */
export async function runOperatorRace(context: ScenarioContext): Promise<void> {
  const revisions: number[] = [];
  for (let round = 0; round < roundCount; round += 1) {
    const running = context.cluster.daemons.filter((daemon) => !daemon.hasExited());
    const [first, second = first] = running;
    if (first === undefined || second === undefined) return;
    const baseRevision = await loadRevision(context, first).catch(() => 0);
    const accepted = await Promise.all(
      [first, second].map(async (daemon, index) =>
        sendChange(context, { daemon, file: `9${round}-operator-${index}.json`, baseRevision }),
      ),
    );
    revisions.push(...accepted.filter((revision) => revision > 0));
  }
  if (new Set(revisions).size !== revisions.length) {
    context.violations.push(`two accepted changes share a revision: ${revisions.join(', ')}`);
  }
  await checkInForce(context, Math.max(0, ...revisions));
}

async function checkInForce(context: ScenarioContext, revision: number): Promise<void> {
  const startMs = performance.now();
  for (const daemon of context.cluster.daemons.filter((one) => !one.hasExited())) {
    const leftMs = Math.max(1, startMs + inForceTimeoutMs - performance.now());
    await waitUntil('configuration in force', leftMs, async () =>
      (await loadRevision(context, daemon)) >= revision ? true : undefined,
    ).catch(() => {
      const { id } = daemon.settings;
      context.violations.push(
        `revision ${revision} not in force on ${id} after ${inForceTimeoutMs} ms`,
      );
    });
  }
}
