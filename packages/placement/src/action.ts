import type { GangPlacement } from './event.ts';

/** Kinds of actions that the placement core decides. */
export enum ActionKind {
  StartGang = 'startGang',
  StopGang = 'stopGang',
  FailJob = 'failJob',
  /** The job ended: completed or cancelled. */
  EndJob = 'endJob',
  QuarantineWorker = 'quarantineWorker',
  ReleaseWorker = 'releaseWorker',
  /** Lost hardware broke a guarantee, or returned hardware restored it. */
  ReportGuarantee = 'reportGuarantee',
}

/** Why a running gang is stopped. */
export enum StopReason {
  Reclaim = 'reclaim',
  Cancel = 'cancel',
  /** Moved elsewhere to free adjacent accelerators (defragmentation). */
  Migrate = 'migrate',
}

/** Output of the placement core; the actions must be executed in order. */
export type PlacementAction =
  | { kind: ActionKind.StartGang; placement: GangPlacement }
  | {
      kind: ActionKind.StopGang;
      jobId: string;
      attempt: number;
      reason: StopReason;
      /** Grace period for a checkpoint before the members are stopped; 0 stops at once. */
      graceMs: number;
    }
  | { kind: ActionKind.FailJob; jobId: string; message: string }
  | { kind: ActionKind.EndJob; jobId: string; isCancelled: boolean }
  | { kind: ActionKind.QuarantineWorker; worker: string; durationMs: number }
  | { kind: ActionKind.ReleaseWorker; worker: string }
  | {
      kind: ActionKind.ReportGuarantee;
      account: string;
      dataCentre: string;
      accelerators: number;
      /** Shapes that cannot be provided now; 0 when the guarantee is restored. */
      missing: number;
    };
