import type { Membership } from '@bergamotreach/membership';
import type { GuaranteeStatus } from '@bergamotreach/placement';
import { MessageType } from '@bergamotreach/protocol';
import type { CancelTimer, Clock } from '@bergamotreach/protocol';

/** Accelerators and jobs of an account in one region. */
export interface AccountUsage {
  /** Accelerators in use. */
  inUse: number;
  /** Jobs waiting. */
  queued: number;
}

/** What the owner of a region reports about it. */
export interface RegionReport {
  region: string;
  guarantees: GuaranteeStatus[];
  usage: Record<string, AccountUsage>;
  quarantined: string[];
}

/** Reports of all regions, put together. */
export interface JoinedReport extends Omit<RegionReport, 'region'> {
  /** Usage by region and account. */
  usageByRegion: Record<string, Record<string, AccountUsage>>;
  /** Regions whose owner did not answer in time. */
  unreachable: string[];
}

/** Asks the owners of all regions for their reports. */
export interface RegionReports {
  loadReports(): Promise<JoinedReport>;
  /** Report of the region owned by this daemon; `undefined` when it owns none. */
  getOwnReport(): RegionReport | undefined;
}

/** Options of the report task. */
export interface RegionReportsOptions {
  clock: Clock;
  membership: Membership;
  listRegions: () => string[];
  getOwnReport: () => RegionReport | undefined;
}

interface PendingLoad {
  reports: Map<string, RegionReport>;
  finish: () => void;
}

const answerTimeoutMs = 1000;

function joinUsage(reports: readonly RegionReport[]): Record<string, AccountUsage> {
  const joined: Record<string, AccountUsage> = {};
  for (const { usage } of reports) {
    for (const [account, { inUse, queued }] of Object.entries(usage)) {
      const sum = joined[account] ?? { inUse: 0, queued: 0 };
      joined[account] = { inUse: sum.inUse + inUse, queued: sum.queued + queued };
    }
  }
  return joined;
}

function joinReports(reports: readonly RegionReport[], regions: readonly string[]): JoinedReport {
  const answered = new Set(reports.map((report) => report.region));
  return {
    guarantees: reports.flatMap((report) => report.guarantees),
    usage: joinUsage(reports),
    usageByRegion: Object.fromEntries(reports.map(({ region, usage }) => [region, usage])),
    quarantined: reports.flatMap((report) => report.quarantined),
    unreachable: regions.filter((region) => !answered.has(region)),
  };
}

/** Creates the task and registers its message handlers. */
export function createRegionReports(options: RegionReportsOptions): RegionReports {
  const { clock, membership, listRegions, getOwnReport } = options;
  const pending = new Map<number, PendingLoad>();
  let nextSequence = 1;

  function handleRequest(from: string, sequence: number): void {
    const report = getOwnReport();
    if (report === undefined) return;
    membership.send(from, { type: MessageType.Report, sequence, report });
  }

  function handleReport(sequence: number, report: RegionReport): void {
    const load = pending.get(sequence);
    if (load === undefined) return;
    load.reports.set(report.region, report);
    if (load.reports.size >= listRegions().length) load.finish();
  }

  async function waitForReports(reports: Map<string, RegionReport>): Promise<void> {
    const sequence = nextSequence++;
    let cancelTimeout: CancelTimer = () => undefined;
    await new Promise<void>((resolve) => {
      pending.set(sequence, { reports, finish: resolve });
      cancelTimeout = clock.setTimer(answerTimeoutMs, resolve);
      membership.sendAll({ type: MessageType.ReportRequest, sequence });
    });
    cancelTimeout();
    pending.delete(sequence);
  }

  async function loadReports(): Promise<JoinedReport> {
    const reports = new Map<string, RegionReport>();
    const own = getOwnReport();
    if (own !== undefined) reports.set(own.region, own);
    const regions = listRegions();
    if (reports.size < regions.length) await waitForReports(reports);
    return joinReports([...reports.values()], regions);
  }

  membership.addHandler(MessageType.ReportRequest, (from, message) => {
    handleRequest(from, message.sequence);
  });
  membership.addHandler(MessageType.Report, (_from, message) => {
    handleReport(message.sequence, message.report as RegionReport);
  });
  return { loadReports, getOwnReport };
}
