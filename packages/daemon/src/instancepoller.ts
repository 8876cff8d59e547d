import type { Instance, InstanceList } from '@bergamotreach/hosting';
import { runEvery } from '@bergamotreach/protocol';
import type { Clock, Logger } from '@bergamotreach/protocol';

/** Polls the instance list of the platform. */
export interface InstancePoller {
  /** Instances of the last successful read. */
  getInstances(): readonly Instance[];
  /** Time since the last successful read in milliseconds; `undefined` before the first. */
  getAgeMs(): number | undefined;
  stop(): void;
}

/** Options of an instance poller. */
export interface InstancePollerOptions {
  list: InstanceList;
  clock: Clock;
  logger: Logger;
  /** Called after each successful read. */
  onInstances: (instances: readonly Instance[]) => void;
}

const pollMs = 1000;

/** Starts polling immediately. */
export function startInstancePoller(options: InstancePollerOptions): InstancePoller {
  const { clock, logger } = options;
  let instances: readonly Instance[] = [];
  let readAtMs: number | undefined;
  let isReading = false;
  let isFailing = false;

  async function poll(): Promise<void> {
    if (isReading) return;
    isReading = true;
    const listed = await options.list.listInstances();
    isReading = false;
    if (listed.isErr()) {
      if (!isFailing) logger.warn('instance_list_unavailable', { reason: listed.error.message });
      isFailing = true;
      return;
    }
    isFailing = false;
    instances = listed.value;
    readAtMs = clock.getNowMs();
    options.onInstances(instances);
  }

  void poll();
  const stop = runEvery(clock, pollMs, () => void poll());
  return {
    getInstances: () => instances,
    getAgeMs: () => (readAtMs === undefined ? undefined : clock.getNowMs() - readAtMs),
    stop,
  };
}
