import { writeSync } from 'node:fs';
import {
  ExitCode,
  createLogger,
  createMetrics,
  createNullMetrics,
  createSystemClock,
  faultResponses,
} from '@bergamotreach/protocol';
import type { Metrics } from '@bergamotreach/protocol';
import { startDaemon } from './daemon.ts';
import type { Daemon } from './daemon.ts';
import { openPlatformClients } from './platformclients.ts';
import { loadSettings } from './settings.ts';
import type { DaemonSettings } from './settings.ts';

const stderrDescriptor = 2;
const forcedExitCode = 1;

function openMetrics(settings: DaemonSettings): Metrics {
  if (settings.statsd === undefined) return createNullMetrics();
  const { host, port } = settings.statsd;
  const { id, region, dataCentre } = settings;
  return createMetrics({ host, port, globalTags: { id, region, dataCentre } });
}

/** Shutdown signals of the process. */
interface ShutdownSignals {
  /** Drains `daemon` on the first signal; immediately if that was already received. */
  attachDaemon(daemon: Daemon): void;
}

/**
 * Drains on the first signal and exits immediately on the second. The handlers are installed before
 * the daemon starts, because the default action of a signal would kill it without draining.
 */
function handleSignals(): ShutdownSignals {
  let isStopping = false;
  let attached: Daemon | undefined;
  const handleSignal = (): void => {
    if (isStopping) process.exit(forcedExitCode);
    isStopping = true;
    attached?.startDraining();
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
  return {
    attachDaemon: (daemon) => {
      attached = daemon;
      if (isStopping) daemon.startDraining();
    },
  };
}

/** Runs a daemon until it has drained after a signal; resolves to the exit code. */
export async function runDaemon(settingsPath: string): Promise<number> {
  const loaded = await loadSettings(settingsPath);
  if (loaded.isErr()) {
    writeSync(stderrDescriptor, `bergamotreach: ${loaded.error.message}\n`);
    return faultResponses[loaded.error.code].exitCode;
  }
  const settings = loaded.value;
  const logger = createLogger({
    name: settings.id,
    level: settings.logLevel,
    write: (line) => process.stdout.write(line),
  });
  const signals = handleSignals();
  const base = { settings, clock: createSystemClock(), logger };
  const clients = openPlatformClients(settings.platformUrl);
  let daemon: Daemon;
  try {
    daemon = await startDaemon({ ...base, metrics: openMetrics(settings), clients });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    writeSync(stderrDescriptor, `bergamotreach: cannot start: ${reason}\n`);
    return ExitCode.Unavailable;
  }
  signals.attachDaemon(daemon);
  await daemon.finished;
  return 0;
}
