import type { Membership } from '@bergamotreach/membership';
import type { GuaranteeStatus } from '@bergamotreach/placement';
import { MessageType } from '@bergamotreach/protocol';
import type { CancelTimer, Clock } from '@bergamotreach/protocol';

/** Usage of an account in one region. */
export interface AccountUsage {
  /** Accelerators in use. */
  inUse: number;
  /** Queued jobs. */
  queued: number;
}

/** Status report of a region, built by its owner. */
export interface RegionReport {
  region: string;
  guarantees: GuaranteeStatus[];
  usage: Record<string, AccountUsage>;
  quarantined: string[];
}

/** Merged reports of all regions. */
export interface MergedReport extends Omit<RegionReport, 'region'> {
  /** Usage by region and account. */
  usageByRegion: Record<string, Record<string, AccountUsage>>;
  /** Regions whose owner did not reply within the timeout. */
  unreachable: string[];
}

/** Collects reports from the region owners. */
export interface RegionReports {
  /** Requests reports from all regions and merges those that arrive within the timeout. */
  loadReports(): Promise<MergedReport>;
  /** Gets the report of this daemon's region; `undefined` when it is not the owner. */
  getOwnReport(): RegionReport | undefined;
}

/** Options of the report collector. */
export interface RegionReportsOptions {
  clock: Clock;
  membership: Membership;
  listRegions: () => string[];
  getOwnReport: () => RegionReport | undefined;
}

interface PendingRequest {
  reports: Map<string, RegionReport>;
  finish: () => void;
}

const reportTimeoutMs = 1000;

function mergeUsage(reports: readonly RegionReport[]): Record<string, AccountUsage> {
  const merged: Record<string, AccountUsage> = {};
  for (const { usage } of reports) {
    for (const [account, { inUse, queued }] of Object.entries(usage)) {
      const sum = merged[account] ?? { inUse: 0, queued: 0 };
      merged[account] = { inUse: sum.inUse + inUse, queued: sum.queued + queued };
    }
  }
  return merged;
}

function mergeReports(reports: readonly RegionReport[], regions: readonly string[]): MergedReport {
  const reported = new Set(reports.map((report) => report.region));
  return {
    guarantees: reports.flatMap((report) => report.guarantees),
    usage: mergeUsage(reports),
    usageByRegion: Object.fromEntries(reports.map(({ region, usage }) => [region, usage])),
    quarantined: reports.flatMap((report) => report.quarantined),
    unreachable: regions.filter((region) => !reported.has(region)),
  };
}

/** Creates the report collector and registers its message handlers. */
export function createRegionReports(options: RegionReportsOptions): RegionReports {
  const { clock, membership, listRegions, getOwnReport } = options;
  const pending = new Map<number, PendingRequest>();
  let nextSequence = 1;

  function handleReportRequest(from: string, sequence: number): void {
    const report = getOwnReport();
    if (report === undefined) return;
    membership.send(from, { type: MessageType.Report, sequence, report });
  }

  function handleReport(sequence: number, report: RegionReport): void {
    const request = pending.get(sequence);
    if (request === undefined) return;
    request.reports.set(report.region, report);
    if (request.reports.size >= listRegions().length) request.finish();
  }

  async function waitForReports(reports: Map<string, RegionReport>): Promise<void> {
    const sequence = nextSequence++;
    let cancelTimeout: CancelTimer = () => undefined;
    await new Promise<void>((resolve) => {
      pending.set(sequence, { reports, finish: resolve });
      cancelTimeout = clock.setTimer(reportTimeoutMs, resolve);
      membership.sendAll({ type: MessageType.ReportRequest, sequence });
    });
    cancelTimeout();
    pending.delete(sequence);
  }

  async function loadReports(): Promise<MergedReport> {
    const reports = new Map<string, RegionReport>();
    const own = getOwnReport();
    if (own !== undefined) reports.set(own.region, own);
    const regions = listRegions();
    if (reports.size < regions.length) await waitForReports(reports);
    return mergeReports([...reports.values()], regions);
  }

  membership.addHandler(MessageType.ReportRequest, (from, message) => {
    handleReportRequest(from, message.sequence);
  });
  membership.addHandler(MessageType.Report, (_from, message) => {
    handleReport(message.sequence, message.report as RegionReport);
  });
  return { loadReports, getOwnReport };
}
