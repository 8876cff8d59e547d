import type { AdviceRules, JobSubmission, QueueRules } from '@bergamotreach/scheduling';

/** A queue that callers submit jobs to. */
export interface QueueConfig {
  name: string;
  /** Value of the Host header. */
  host: string;
  /** Path prefix. */
  prefix: string;
  /** Pool of workers that runs the jobs. */
  pool: string;
  rules: QueueRules;
  /** Absent if the tasks may run on any worker of the pool. */
  advice?: AdviceRules;
  /** Whether callers need no key. */
  isPublic: boolean;
}

/** A client account. */
export interface AccountConfig {
  name: string;
  keys: readonly string[];
  /** Accelerators guaranteed to the account for jobs of priority 0. */
  guaranteedAccelerators: number;
}

/** Limits of callers' connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** The active configuration: queues, accounts and limits, as operators set them. */
export interface ServiceConfig {
  /** Increases with each change. */
  version: number;
  queues: readonly QueueConfig[];
  accounts: readonly AccountConfig[];
  limits: CallerLimits;
}

/** Finds the queue with the longest prefix that matches a path. */
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

/**
 * Finds the rules of advice for a job: those of its queue, or if its queue was removed, those with which it was accepted.
 * `undefined` if its tasks may run on any worker of the pool.
 */
export function findAdviceRules(
  config: ServiceConfig | undefined,
  { queue, advice }: JobSubmission,
): AdviceRules | undefined {
  const current = config?.queues.find(({ name }) => name === queue);
  return current === undefined ? advice : current.advice;
}

/** Finds the account that a key belongs to. */
export function findAccount(config: ServiceConfig, key: string): AccountConfig | undefined {
  return config.accounts.find((account) => account.keys.includes(key));
}
