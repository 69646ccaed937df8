/**
 * Makes the leader's progress durable: ends of jobs, bitmaps of finished tasks,
 * the roster, and deletions of obsolete keys. Owns the budget of changes for
 * progress; scheduler/persistence decides what is written.
 *
 * Serves docs/design.md "Safety" 1 (each transaction is conditioned on the
 * version of this term's leader key), 9 (an exit is forgotten only once it is
 * durable: `DurableWrite.applied`) and 10 (a write without a response may still
 * be applied: `DurableWrite.retry(true)`).
 */
import {
  RequestRefusedError,
  RequestRejectedError,
  type TransactionResult,
} from '../../clients/key-value-store.js';
import { MAX_TRANSACTION_VALUE_BYTES } from '../../records/value-sizes.js';
import { AbortedError } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import { chunksWithUnknownVersion } from '../../scheduler/persistence/bitmap-chunk-write.js';
import type { DurableWrite } from '../../scheduler/persistence/durable-write.js';
import { collectPendingWrites } from '../../scheduler/persistence/pending-writes.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import { measureHold } from '../event-loop-hold.js';
import { failedOnLeaderKey, transactAsLeader } from './leader-transaction.js';

/**
 * Share of the allowed changes per second that progress may use. The rest is left
 * for submissions, cancellations and ends of jobs.
 */
const PROGRESS_SHARE = 0.3;

/**
 * Unused changes for progress are kept for bursts, up to the number of all changes
 * that are allowed in this many seconds.
 */
const PROGRESS_BURST_S = 0.5;

/** Pause after a transaction that was refused or got no response, in write intervals. */
const FAILURE_BACKOFF_INTERVALS = 3;

/**
 * Outcome of a batch. The callbacks of its writes have already been called,
 * except for writes given up.
 *
 * - `settled`: applied, in conflict with what is stored, rejected permanently, or
 *   sent again as separate writes. The next batch may follow.
 * - `postponed`: refused, without a response, or not applied because the leader key
 *   has changed. The remaining writes wait for the next interval.
 */
type BatchOutcome = 'settled' | 'postponed';

/** Performs the durable writes of one leader term. */
export class ProgressWriter {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {}

  /**
   * Writes pending changes at regular intervals until the signal is aborted. Then
   * returns or throws `AbortedError`.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    const { loweredChangesPerS } = ctx.limits;
    const intervalMs = ctx.timing.progressWriteIntervalMs;
    const changesPerInterval = (loweredChangesPerS * PROGRESS_SHARE * intervalMs) / 1000;
    let budget = 0;
    while (!signal.aborted) {
      await ctx.clock.sleep(intervalMs, signal);
      budget = Math.min(budget + changesPerInterval, loweredChangesPerS * PROGRESS_BURST_S);
      await this.rereadUnknownChunkVersions(signal);
      const writeBudget = { progressChanges: budget, wallNow: ctx.clock.wall() };
      const writes = measureHold(ctx, 'progress collected', () =>
        collectPendingWrites(cluster, writeBudget),
      );
      let from = 0;
      while (from < writes.length) {
        const batch = this.nextBatch(writes, from);
        from += batch.length;
        budget = Math.max(0, budget - progressChangesIn(batch));
        if ((await this.write(batch)) === 'postponed') {
          for (const write of writes.slice(from)) write.retry(false);
          break;
        }
      }
    }
  }

  /** Returns as many of the next writes as fit into one transaction, and at least one. */
  private nextBatch(writes: readonly DurableWrite[], from: number): DurableWrite[] {
    const batch: DurableWrite[] = [];
    let changes = 0;
    let bytes = 0;
    for (let next = from; next < writes.length; next++) {
      const write = writes[next] as DurableWrite;
      changes += write.changes.length;
      bytes += write.sizeBytes;
      const fits = changes <= this.ctx.limits.changes && bytes <= MAX_TRANSACTION_VALUE_BYTES;
      if (!fits && batch.length > 0) break;
      batch.push(write);
    }
    return batch;
  }

  /**
   * Reads the versions of bitmap chunks whose last write got no response or was in
   * conflict with the stored chunk. The stored version is unknown then, and a write
   * conditioned on a wrong version would only fail.
   */
  private async rereadUnknownChunkVersions(signal: AbortSignal): Promise<void> {
    for (const { job, chunk } of chunksWithUnknownVersion(this.cluster)) {
      try {
        const key = this.cluster.bitmaps.chunkKey(job.spec.id, chunk);
        const entry = await this.ctx.state.get(key, RequestPriority.completions, signal);
        job.chunkVersions.set(chunk, entry?.version ?? 0);
      } catch (err) {
        if (signal.aborted) throw new AbortedError();
        this.ctx.log.debug({ err }, 'bitmap read failed; retrying at the next write interval');
        return;
      }
    }
  }

  private async write(batch: readonly DurableWrite[]): Promise<BatchOutcome> {
    const { term, ctx } = this;
    try {
      const result = await transactAsLeader(ctx.state, term, {
        conditions: batch.flatMap((write) => write.conditions),
        changes: batch.flatMap((write) => write.changes),
        priority: RequestPriority.completions,
      });
      if (!result.ok) return this.handleFailedConditions(batch, result);
      for (const write of batch) write.applied(result.revision);
      return 'settled';
    } catch (err) {
      if (err instanceof RequestRejectedError) return this.splitOrGiveUp(batch, err);
      // A refused request was not applied. One without a response may have been applied or may still be.
      const mayBeApplied = !(err instanceof RequestRefusedError);
      for (const write of batch) write.retry(mayBeApplied);
      if (!term.signal.aborted)
        ctx.log.debug({ err }, 'progress write refused or failed; retrying after a pause');
      await ctx.clock.sleep(
        ctx.timing.progressWriteIntervalMs * FAILURE_BACKOFF_INTERVALS,
        term.signal,
      );
      return 'postponed';
    }
  }

  /** Handles a transaction that was not applied because some of its conditions did not hold. */
  private handleFailedConditions(
    batch: readonly DurableWrite[],
    result: TransactionResult,
  ): BatchOutcome {
    const { failedKeys } = result;
    if (failedOnLeaderKey(result)) {
      for (const write of batch) write.retry(false);
      return 'postponed';
    }
    for (const write of batch)
      if (write.conditions.some((condition) => failedKeys.includes(condition.key)))
        write.conflict(failedKeys);
      else write.retry(false);
    return 'settled';
  }

  /**
   * Handles a transaction that the state service will never accept as it is. Each
   * write is sent separately, so that the rejected one does not block the others.
   * That one is not retried in this term; the next leader starts from what is
   * stored.
   */
  private async splitOrGiveUp(
    batch: readonly DurableWrite[],
    err: RequestRejectedError,
  ): Promise<BatchOutcome> {
    if (batch.length > 1) {
      for (const write of batch) await this.write([write]);
      return 'settled';
    }
    this.ctx.log.error(
      { keys: batch[0]?.changes.map((change) => change.key), err },
      'write rejected by the state service and given up',
    );
    return 'settled';
  }
}

/**
 * Counts the changes charged to the budget: bitmaps, roster pages and deletions,
 * but not ends of jobs.
 */
function progressChangesIn(batch: readonly DurableWrite[]): number {
  return batch.filter((write) => write.changes.length === 1).length;
}
