import { Priority } from '../../runtime/request-budget.js';
import type { Cluster } from '../../scheduler/state/cluster-state.js';
import type { Job } from '../../scheduler/state/job.js';
import type { JobStore } from '../api/job-store.js';
import type { Context } from '../context.js';

/** Lists read at the same time. */
const READS_AT_ONCE = 8;
/** Rounds between two looks, while reads succeed. */
const LOOK_ROUNDS = 2;

/**
 * Reads for a leader what it has not seen itself: how jobs ended that others
 * wait for (before its term, or ended by another node), and lists of upstream
 * jobs that stand apart from their records. Nothing that waits for them starts
 * before.
 */
export class UpstreamResolver {
  constructor(
    private readonly ctx: Context,
    private readonly cluster: Cluster,
    private readonly store: JobStore,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      const failed = await this.look(signal);
      await clock.sleep(failed ? timing.renewMs : timing.roundMs * LOOK_ROUNDS, signal);
    }
  }

  /** True when something could not be read. */
  private async look(signal: AbortSignal): Promise<boolean> {
    const { graph } = this.cluster;
    const unread = [...graph.unread].slice(0, READS_AT_ONCE);
    const results = await Promise.allSettled([
      this.readEnds([...graph.unresolved], signal),
      ...unread.map((job) => this.readList(job, signal)),
    ]);
    const failure = results.find((r) => r.status === 'rejected');
    if (failure && !signal.aborted)
      this.ctx.log.debug({ error: String(failure.reason) }, 'upstream job not read');
    return failure !== undefined;
  }

  private async readList(job: Job, signal: AbortSignal): Promise<void> {
    const { id } = job.spec;
    const found = await this.store.find(id, Priority.ends, signal);
    // It has ended meanwhile; the watch is about to tell.
    if (!found?.live) return;
    const ids = await this.store.upstreamOf(id, found.record, Priority.ends, signal);
    if (ids) this.cluster.linkUnread(job, ids);
  }

  /** All at once: one job may wait for thousands that ended before this term. */
  private async readEnds(ids: readonly string[], signal: AbortSignal): Promise<void> {
    if (ids.length === 0) return;
    const ends = await this.store.findEnds(ids, Priority.ends, signal);
    for (const [id, { record }] of ends)
      this.cluster.endJob(id, { state: record.state, at: record.at ?? null });
    const missing = ids.find((id) => !ends.has(id));
    if (missing !== undefined) throw new Error(`${missing} is neither live nor over`);
  }
}
