import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { CommitStatus } from '@bergamotreach/hosting';
import type { Commit, Table } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ConfigChange } from './conflict.ts';
import { headKey } from './head.ts';
import type { ConfigHead } from './head.ts';
import type { CommittedChange } from './store.ts';

const defaultMaxAttempts = 4;
const defaultRetryMs = 200;

/** Dependencies of `commitHead`. */
export interface CommitContext {
  table: Table;
  clock: Clock;
  maxAttempts?: number;
  retryMs?: number;
  loadHead: () => Promise<Result<ConfigHead, Fault>>;
  /** Finds out whether a change was committed after the head has moved past its base. */
  resolveMovedHead: (
    change: ConfigChange,
    head: ConfigHead,
  ) => Promise<Result<CommittedChange, Fault>>;
}

/** A checked change whose objects are stored and whose head is not yet committed. */
export interface PreparedCommit {
  change: ConfigChange;
  head: ConfigHead;
  /** Hash of the new manifest. */
  manifest: string;
}

/**
 * Moves the head with a conditional write (compare-and-set). After a lost reply or a conflict, reads
 * the head back before the next attempt. Retries are safe, because the commit is conditional on the
 * row version that the change is based on. Faults: `store_unavailable` when no attempt can have taken
 * effect, `unknown_outcome` when one may have, and those of `resolveMovedHead`.
 */
export async function commitHead(
  context: CommitContext,
  prepared: PreparedCommit,
): Promise<Result<CommittedChange, Fault>> {
  const { change, head, manifest } = prepared;
  const revision = head.revision + 1;
  const retryMs = context.retryMs ?? defaultRetryMs;
  let mustReadBack = false;
  let hasLostReply = false;
  for (let attempt = 0; attempt < (context.maxAttempts ?? defaultMaxAttempts); attempt += 1) {
    if (attempt > 0) await waitFor(context.clock, retryMs * 2 ** (attempt - 1));
    if (mustReadBack) {
      const current = await context.loadHead();
      if (current.isErr()) continue;
      if (current.value.rowVersion !== head.rowVersion) {
        return context.resolveMovedHead(change, current.value);
      }
    }
    const reply = await context.table.commit(buildCommit(prepared));
    if (reply.status === CommitStatus.Committed) return Ok({ revision, manifest });
    mustReadBack ||= reply.status !== CommitStatus.Unavailable;
    hasLostReply ||= reply.status === CommitStatus.Ambiguous;
  }
  return Err(createCommitFault(hasLostReply, change));
}

function buildCommit({ change, head, manifest }: PreparedCommit): Commit {
  const { operationId, author } = change;
  const value = { revision: head.revision + 1, manifest, operationId, author };
  return {
    operationId,
    conditions: [{ key: headKey, version: head.rowVersion }],
    writes: [{ key: headKey, value }],
  };
}

function createCommitFault(hasLostReply: boolean, change: ConfigChange): Fault {
  const details = { operationId: change.operationId };
  if (!hasLostReply) {
    return createFault(FaultCode.StoreUnavailable, 'the store did not accept the change', {
      details,
    });
  }
  const message = 'the reply of the store was lost and the change could not be read back';
  return createFault(FaultCode.UnknownOutcome, message, { details });
}
