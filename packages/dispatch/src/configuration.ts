import type { QueueRules } from '@bergamotreach/scheduling';

/** How long the service that knows a queue's policy takes. Durations are in milliseconds. */
export interface AdviceRules {
  decisionMs: number;
  /** Added for each worker of a call. */
  perWorkerMs: number;
}

/** A queue that callers submit jobs to. */
export interface QueueConfig {
  name: string;
  /** Value of the Host header. */
  host: string;
  /** Beginning of the path. */
  prefix: string;
  /** Pool of workers that runs its jobs. */
  pool: string;
  rules: QueueRules;
  /** Absent when its tasks may run on any worker. */
  advice?: AdviceRules;
  /** Calls need no key. */
  isPublic: boolean;
}

/** A client account. */
export interface AccountConfig {
  name: string;
  keys: readonly string[];
  /** Accelerators that belong to the account for work of priority 0. */
  guaranteedAccelerators: number;
}

/** Limits of callers' connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The operators' configuration in force. */
export interface ServiceConfig {
  /** Grows with each change. */
  version: number;
  queues: readonly QueueConfig[];
  accounts: readonly AccountConfig[];
  limits: CallerLimits;
}

/** Finds the queue with the longest prefix of a path. */
export function findQueue(
  config: ServiceConfig,
  host: string,
  path: string,
): QueueConfig | undefined {
  let best: QueueConfig | undefined;
  for (const queue of config.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (best === undefined || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best;
}

/** Finds the account that a key belongs to. */
export function findAccount(config: ServiceConfig, key: string): AccountConfig | undefined {
  return config.accounts.find((account) => account.keys.includes(key));
}
