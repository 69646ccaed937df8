import { RequestRefusedError, RequestRejectedError } from '../../clients/key-value-store.js';
import { AbortedError } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import { chunksOfUnknownVersion } from '../../scheduler/persistence/bitmap-chunk-write.js';
import type { DurableWrite } from '../../scheduler/persistence/durable-write.js';
import { pendingWrites } from '../../scheduler/persistence/pending-writes.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { ControllerContext } from '../context.js';
import { LEADER_KEY } from '../election/leader-key.js';
import type { LeaderTerm } from '../election/leader-term.js';

/** A transaction's own limit in the protocol, with room for its frame. */
const TRANSACTION_BYTES = 56 * 1024;
/** A part of the changes is progress; the rest stays for submissions, cancellations and ends. */
const PROGRESS_SHARE = 0.3;
/** Progress that was not needed for a while may follow in a burst, in seconds of all changes. */
const PROGRESS_BURST_S = 0.5;
/** Ticks to wait after a transaction that was not answered. */
const FAILURE_BACKOFF_TICKS = 3;

/** Writes what a leader has to keep: ends of jobs, finished tasks and the roster. */
export class ProgressWriter {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { ctx, cluster } = this;
    const { loweredChangesPerS } = ctx.limits;
    const tickMs = ctx.timing.progressWriteMs;
    const sparePerTick = (loweredChangesPerS * PROGRESS_SHARE * tickMs) / 1000;
    let spare = 0;
    while (!signal.aborted) {
      await ctx.clock.sleep(tickMs, signal);
      spare = Math.min(spare + sparePerTick, loweredChangesPerS * PROGRESS_BURST_S);
      await this.rereadUnknownChunks(signal);
      const writes = pendingWrites(cluster, { progressChanges: spare, wallNow: ctx.clock.wall() });
      let from = 0;
      while (from < writes.length) {
        const batch = this.nextBatch(writes, from);
        from += batch.length;
        spare = Math.max(0, spare - batch.filter((write) => write.changes.length === 1).length);
        if (!(await this.write(batch))) {
          for (const write of writes.slice(from)) write.retry(false);
          break;
        }
      }
    }
  }

  /** As many of the next units as a transaction takes, and one at the least. */
  private nextBatch(writes: DurableWrite[], from: number): DurableWrite[] {
    const batch: DurableWrite[] = [];
    let changes = 0;
    let bytes = 0;
    for (const write of writes.slice(from)) {
      if (batch.length > 0) {
        if (changes + write.changes.length > this.ctx.limits.changes) break;
        if (bytes + write.size > TRANSACTION_BYTES) break;
      }
      batch.push(write);
      changes += write.changes.length;
      bytes += write.size;
    }
    return batch;
  }

  /** Reads anew which version of a bitmap stands after a write of it had no answer. */
  private async rereadUnknownChunks(signal: AbortSignal): Promise<void> {
    for (const { job, chunk } of chunksOfUnknownVersion(this.cluster)) {
      try {
        const key = this.cluster.bitmaps.key(job.spec.id, chunk);
        const entry = await this.ctx.state.get(key, RequestPriority.ends, signal);
        job.chunkVersions.set(chunk, entry?.version ?? 0);
      } catch (error) {
        if (signal.aborted) throw new AbortedError();
        this.ctx.log.debug({ error: String((error as Error).message) }, 'bitmap not read');
        return;
      }
    }
  }

  /** False: the state service did not take it; the rest waits for the next turn. */
  private async write(batch: DurableWrite[]): Promise<boolean> {
    const { term, ctx } = this;
    try {
      const result = await ctx.state.transact(
        [{ key: LEADER_KEY, version: term.version }, ...batch.flatMap((write) => write.conditions)],
        batch.flatMap((write) => write.changes),
        RequestPriority.ends,
        term.signal,
      );
      if (!result.ok) return this.notApplied(batch, result.failed);
      for (const write of batch) write.applied(result.revision);
      return true;
    } catch (error) {
      if (error instanceof RequestRejectedError) return this.giveUpOrSplit(batch, error);
      for (const write of batch) write.retry(!(error instanceof RequestRefusedError));
      if (!term.signal.aborted)
        ctx.log.debug({ error: String((error as Error).message) }, 'flush not answered');
      await ctx.clock.sleep(ctx.timing.progressWriteMs * FAILURE_BACKOFF_TICKS, term.signal);
      return false;
    }
  }

  /** The conditions on these keys failed, so nothing of the batch stands. False: this leader has been followed. */
  private notApplied(batch: DurableWrite[], failed: string[]): boolean {
    if (failed.includes(LEADER_KEY)) {
      this.term.resign('leader key held by another controller');
      for (const write of batch) write.retry(false);
      return false;
    }
    for (const write of batch)
      if (write.conditions.some((condition) => failed.includes(condition.key)))
        write.conflict(failed);
      else write.retry(false);
    return true;
  }

  /**
   * The service will never take this transaction as it stands. Each part is
   * written by itself, so that one that is at fault holds up none of the others;
   * that one is left until the next leader, which begins with what is stored.
   */
  private async giveUpOrSplit(batch: DurableWrite[], error: Error): Promise<boolean> {
    if (batch.length > 1) {
      for (const write of batch) await this.write([write]);
      return true;
    }
    this.ctx.log.error(
      { keys: batch[0]?.changes.map((change) => change.key), error: error.message },
      'a write is not acceptable to the state service and was given up',
    );
    return true;
  }
}
