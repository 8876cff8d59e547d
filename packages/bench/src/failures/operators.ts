import { callHttp, callJson, operatorToken, waitUntil } from '../cluster/index.ts';
import type { DaemonProcess } from '../cluster/index.ts';
import type { Scene } from './scene.ts';

const roundCount = 4;
// The design promises seconds; the design size has 7 s.
const inForceMs = 7000;

interface Change {
  daemon: DaemonProcess;
  file: string;
  baseRevision: number;
}

async function loadRevision(scene: Scene, daemon: DaemonProcess): Promise<number> {
  const url = `${scene.cluster.getUrl(daemon)}/v1/config`;
  return (await callJson<{ revision: number }>(url, { token: operatorToken })).revision;
}

/** Sends a change; returns its revision, or 0 when it was not accepted. */
async function sendChange(scene: Scene, change: Change): Promise<number> {
  const { daemon, file, baseRevision } = change;
  const content = JSON.stringify({ limits: { defaultRequestMs: 9000 + baseRevision } });
  const answer = await callHttp(`${scene.cluster.getUrl(daemon)}/v1/config`, {
    method: 'POST',
    token: operatorToken,
    body: { baseRevision, put: { [file]: content }, remove: [], operationId: file },
  }).catch(() => undefined);
  if (answer === undefined || answer.status > 299) return 0;
  return (JSON.parse(answer.body) as { revision: number }).revision;
}

/** Two operators change the same base at two daemons, several times. */
export async function runOperators(scene: Scene): Promise<void> {
  const revisions: number[] = [];
  for (let round = 0; round < roundCount; round += 1) {
    const running = scene.cluster.daemons.filter((daemon) => !daemon.hasExited());
    const [first, second = first] = running;
    if (first === undefined || second === undefined) return;
    const baseRevision = await loadRevision(scene, first).catch(() => 0);
    const accepted = await Promise.all(
      [first, second].map(async (daemon, index) =>
        sendChange(scene, { daemon, file: `9${round}-operator-${index}.json`, baseRevision }),
      ),
    );
    revisions.push(...accepted.filter((revision) => revision > 0));
  }
  if (new Set(revisions).size !== revisions.length) {
    scene.violations.push(`two accepted changes share a revision: ${revisions.join(', ')}`);
  }
  await checkInForce(scene, Math.max(0, ...revisions));
}

async function checkInForce(scene: Scene, revision: number): Promise<void> {
  const startMs = performance.now();
  for (const daemon of scene.cluster.daemons.filter((one) => !one.hasExited())) {
    const leftMs = Math.max(1, startMs + inForceMs - performance.now());
    await waitUntil('configuration in force', leftMs, async () =>
      (await loadRevision(scene, daemon)) >= revision ? true : undefined,
    ).catch(() => {
      const { id } = daemon.settings;
      scene.violations.push(`revision ${revision} not in force on ${id} after ${inForceMs} ms`);
    });
  }
}
