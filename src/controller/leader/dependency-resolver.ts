import { RequestPriority } from '../../runtime/request-budget.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Job } from '../../scheduler/state/task-attempt.js';
import type { JobStore } from '../api/job-store.js';
import type { ControllerContext } from '../context.js';

/** Lists read at the same time. */
const MAX_CONCURRENT_READS = 8;
/** Rounds between two looks, while reads succeed. */
const POLL_ROUNDS = 2;

/**
 * Reads for a leader what it has not seen itself: how jobs ended that others
 * wait for (before its term, or ended by another node), and lists of upstream
 * jobs that stand apart from their records. Nothing that waits for them starts
 * before.
 */
export class DependencyResolver {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cluster: ClusterState,
    private readonly store: JobStore,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      const failed = await this.resolvePending(signal);
      await clock.sleep(failed ? timing.renewMs : timing.roundMs * POLL_ROUNDS, signal);
    }
  }

  /** True when something could not be read. */
  private async resolvePending(signal: AbortSignal): Promise<boolean> {
    const { dependencies: graph } = this.cluster;
    const unread = [...graph.unreadLists].slice(0, MAX_CONCURRENT_READS);
    const results = await Promise.allSettled([
      this.readEnds([...graph.unresolvedEnds], signal),
      ...unread.map((job) => this.readList(job, signal)),
    ]);
    const failure = results.find((r) => r.status === 'rejected');
    if (failure && !signal.aborted)
      this.ctx.log.debug({ error: String(failure.reason) }, 'upstream job not read');
    return failure !== undefined;
  }

  private async readList(job: Job, signal: AbortSignal): Promise<void> {
    const { id } = job.spec;
    const found = await this.store.find(id, RequestPriority.ends, signal);
    // It has ended meanwhile; the watch is about to tell.
    if (!found?.live) return;
    const ids = await this.store.dependenciesOf(id, found.record, RequestPriority.ends, signal);
    if (ids) this.cluster.addReadDependencies(job, ids);
  }

  /** All at once: one job may wait for thousands that ended before this term. */
  private async readEnds(ids: readonly string[], signal: AbortSignal): Promise<void> {
    if (ids.length === 0) return;
    const ends = await this.store.findEnds(ids, RequestPriority.ends, signal);
    for (const [id, { record }] of ends)
      this.cluster.endJob(id, { state: record.state, at: record.at ?? null });
    const missing = ids.find((id) => !ends.has(id));
    if (missing !== undefined) throw new Error(`${missing} is neither live nor over`);
  }
}
