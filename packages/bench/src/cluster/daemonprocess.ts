import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { open, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { DaemonSettings } from '@bergamotreach/daemon';

/** A daemon that runs the bundled program in a child process. */
export interface DaemonProcess {
  settings: DaemonSettings;
  pid: number;
  /** Sends a signal, for example SIGKILL, SIGSTOP or SIGCONT. */
  sendSignal(signal: NodeJS.Signals): void;
  /** Resolves with the exit code, or with the signal that terminated the process. */
  exited: Promise<number | NodeJS.Signals>;
  hasExited(): boolean;
}

/** Path of the bundled program, built by `npm run build`. */
export const bundlePath = 'dist/bergamotreach.cjs';

function waitForExit(child: ChildProcess): Promise<number | NodeJS.Signals> {
  return new Promise((resolve) => {
    child.once('exit', (code, signal) => {
      resolve(signal ?? code ?? 1);
    });
  });
}

/** Writes the settings to `directory` and starts the daemon; it logs to `<id>.log` there. */
export async function startDaemonProcess(
  settings: DaemonSettings,
  directory: string,
): Promise<DaemonProcess> {
  const settingsPath = join(directory, `${settings.id}.json`);
  await writeFile(settingsPath, JSON.stringify(settings, null, 2));
  const log = await open(join(directory, `${settings.id}.log`), 'a');
  const child = spawn(process.execPath, [bundlePath, 'serve', '--settings', settingsPath], {
    stdio: ['ignore', log.fd, log.fd],
  });
  await log.close();
  const exited = waitForExit(child);
  return {
    settings,
    pid: child.pid ?? 0,
    sendSignal: (signal) => {
      child.kill(signal);
    },
    exited,
    hasExited: () => child.exitCode !== null || child.signalCode !== null,
  };
}
