import { urgentPriority } from '@bergamotreach/scheduling';
import type { AccountConfig, CallerLimits, QueueConfig, ServiceConfig } from './configuration.ts';

/** Kinds of findings in a configuration. */
export enum FindingKind {
  /** A value that the system cannot work with. */
  Error = 'error',
  /** An entry that no call can ever match. */
  Unreachable = 'unreachable',
  /** Limits that contradict each other, so that one of them has no effect. */
  Contradiction = 'contradiction',
}

/** Something that operators should know before they send a configuration. */
export interface ConfigFinding {
  kind: FindingKind;
  /** Entry, as `queues.NAME`, `accounts.NAME` or `limits.FIELD`. */
  entry: string;
  message: string;
}

/** A difference between two configurations; keys of accounts are not shown. */
export interface ConfigDifference {
  entry: string;
  /** Absent if the entry is new. */
  before?: string;
  /** Absent if the entry is removed. */
  after?: string;
}

/** Bounds that are fixed in the program. */
export interface ProgramBounds {
  /** Largest header section that the listener parses, in bytes. */
  maxHeaderBytes: number;
}

/** The shortest submission: one step of one task, all else omitted. */
const minSubmissionBytes = '{"steps":[{"count":1}]}'.length;

type AddFinding = (kind: FindingKind, entry: string, message: string) => void;

/** Lists errors, entries that no call can match, and limits that contradict each other. */
export function listConfigFindings(config: ServiceConfig, bounds: ProgramBounds): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const add: AddFinding = (kind, entry, message) => {
    findings.push({ kind, entry, message });
  };
  checkQueues(config, add);
  checkAccounts(config, add);
  checkLimits(config.limits, bounds, add);
  return findings;
}

function checkQueues({ queues, accounts }: ServiceConfig, add: AddFinding): void {
  const names = new Set<string>();
  const paths = new Map<string, string>();
  const hasKeys = accounts.some(({ keys }) => keys.length > 0);
  for (const queue of queues) {
    const entry = `queues.${queue.name}`;
    if (names.has(queue.name)) add(FindingKind.Error, entry, 'the name is used twice');
    names.add(queue.name);
    checkRules(queue, entry, add);
    const path = JSON.stringify([queue.host, queue.prefix]);
    const earlier = paths.get(path);
    if (earlier !== undefined) {
      const message = `host and prefix are those of ${earlier}, which comes first`;
      add(FindingKind.Unreachable, entry, message);
    } else paths.set(path, queue.name);
    if (queue.host === '') add(FindingKind.Unreachable, entry, 'calls without a host are refused');
    if (!queue.prefix.startsWith('/')) {
      add(FindingKind.Unreachable, entry, `paths begin with "/", the prefix is "${queue.prefix}"`);
    }
    if (!queue.isPublic && !hasKeys) {
      add(FindingKind.Unreachable, entry, 'it is not public, and no account has a key');
    }
  }
}

function checkRules({ rules, pool, advice }: QueueConfig, entry: string, add: AddFinding): void {
  const { priority, maxAttempts, stretch, targetMs } = rules;
  if (pool === '') add(FindingKind.Error, entry, 'it names no pool');
  if (!Number.isInteger(priority) || priority < urgentPriority) {
    add(FindingKind.Error, entry, `priority ${priority} is not a whole number from 0`);
  }
  if (!Number.isInteger(maxAttempts) || maxAttempts < 1) {
    add(FindingKind.Error, entry, `${maxAttempts} attempts do not allow a single run`);
  }
  if (stretch < 0 || targetMs < 0) add(FindingKind.Error, entry, 'the objective is negative');
  if (stretch < 1 && targetMs === 0) {
    const message = `a job has ${stretch} times its own run time, so that every job is late`;
    add(FindingKind.Contradiction, entry, message);
  }
  if (advice !== undefined && (advice.decisionMs < 0 || advice.perWorkerMs < 0)) {
    add(FindingKind.Error, entry, 'a time of the advice is negative');
  }
}

function checkAccounts({ queues, accounts }: ServiceConfig, add: AddFinding): void {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  const hasUrgentQueue = queues.some(({ rules }) => rules.priority === urgentPriority);
  for (const account of accounts) {
    const entry = `accounts.${account.name}`;
    if (names.has(account.name)) add(FindingKind.Error, entry, 'the name is used twice');
    names.add(account.name);
    checkGuarantee(account, hasUrgentQueue, add);
    if (account.keys.length === 0) {
      add(FindingKind.Unreachable, entry, 'it has no key, so that no call can be made for it');
    }
    for (const [index, key] of account.keys.entries()) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== account.name) {
        const message = `key ${index} is also a key of ${owner}, which comes first`;
        add(FindingKind.Unreachable, entry, message);
      } else owners.set(key, account.name);
      if (key === '') add(FindingKind.Error, entry, `key ${index} is empty`);
    }
  }
}

function checkGuarantee(
  { name, guaranteedAccelerators }: AccountConfig,
  hasUrgentQueue: boolean,
  add: AddFinding,
): void {
  const entry = `accounts.${name}`;
  if (!Number.isInteger(guaranteedAccelerators) || guaranteedAccelerators < 0) {
    const message = `a guarantee of ${guaranteedAccelerators} is not a whole number from 0`;
    add(FindingKind.Error, entry, message);
  }
  if (guaranteedAccelerators > 0 && !hasUrgentQueue) {
    const message = 'its guarantee covers jobs of priority 0, and no queue has that priority';
    add(FindingKind.Unreachable, entry, message);
  }
}

function checkLimits(limits: CallerLimits, bounds: ProgramBounds, add: AddFinding): void {
  for (const [field, value] of Object.entries(limits)) {
    if (value <= 0) add(FindingKind.Error, `limits.${field}`, `${value} is not above 0`);
  }
  const { maxHeaderBytes, maxBodyBytes } = limits;
  if (maxHeaderBytes > bounds.maxHeaderBytes) {
    const message = `headers beyond ${bounds.maxHeaderBytes} bytes are refused in any case`;
    add(FindingKind.Contradiction, 'limits.maxHeaderBytes', message);
  }
  if (maxBodyBytes > 0 && maxBodyBytes < minSubmissionBytes) {
    const message = `no submission has fewer than ${minSubmissionBytes} bytes`;
    add(FindingKind.Contradiction, 'limits.maxBodyBytes', message);
  }
}

/** Formats entries by name; names that occur more than once are told apart by their position. */
function mapByName<T extends { name: string }>(
  entries: readonly T[],
  format: (one: T) => string,
): Map<string, string> {
  const formatted = new Map<string, string>();
  for (const [position, one] of entries.entries()) {
    const name = formatted.has(one.name) ? `${one.name}#${position}` : one.name;
    formatted.set(name, format(one));
  }
  return formatted;
}

function listDifferences(
  prefix: string,
  before: ReadonlyMap<string, string>,
  after: ReadonlyMap<string, string>,
): ConfigDifference[] {
  const names = new Set([...before.keys(), ...after.keys()]);
  return [...names].flatMap((name) => {
    const old = before.get(name);
    const next = after.get(name);
    if (old === next) return [];
    return {
      entry: `${prefix}.${name}`,
      ...(old === undefined ? {} : { before: old }),
      ...(next === undefined ? {} : { after: next }),
    };
  });
}

function formatQueue(queue: QueueConfig): string {
  const { host, prefix, pool, rules, advice, isPublic } = queue;
  return JSON.stringify({ host, prefix, pool, rules, advice, isPublic });
}

function formatGuarantee({ guaranteedAccelerators }: AccountConfig): string {
  return `${guaranteedAccelerators} accelerators guaranteed`;
}

function mapLimits(limits: CallerLimits): Map<string, string> {
  return new Map(Object.entries(limits).map(([field, value]) => [field, String(value)]));
}

/** Tells how many keys change, since keys are secrets. */
function listKeyDifferences(
  inForce: readonly AccountConfig[],
  next: readonly AccountConfig[],
): ConfigDifference[] {
  return next.flatMap(({ name, keys }) => {
    const before = inForce.find((account) => account.name === name)?.keys;
    if (before === undefined) return [];
    const removed = before.filter((key) => !keys.includes(key)).length;
    const added = keys.filter((key) => !before.includes(key)).length;
    if (removed + added === 0) return [];
    return {
      entry: `accounts.${name}.keys`,
      before: `${before.length} keys, ${removed} of them removed`,
      after: `${keys.length} keys, ${added} of them new`,
    };
  });
}

/** Lists what a configuration changes against the one in force. */
export function compareConfigs(inForce: ServiceConfig, next: ServiceConfig): ConfigDifference[] {
  return [
    ...listDifferences(
      'queues',
      mapByName(inForce.queues, formatQueue),
      mapByName(next.queues, formatQueue),
    ),
    ...listDifferences(
      'accounts',
      mapByName(inForce.accounts, formatGuarantee),
      mapByName(next.accounts, formatGuarantee),
    ),
    ...listKeyDifferences(inForce.accounts, next.accounts),
    ...listDifferences('limits', mapLimits(inForce.limits), mapLimits(next.limits)),
  ];
}
