/**
 * Reads the dependency information that the leader has not observed itself: how
 * jobs that others depend on ended (before its term, or through another
 * controller), and dependency lists that are stored apart from their job's
 * record. Owns no state and writes nothing; the results go into `ClusterState`.
 *
 * A job does not start before all its dependencies are known, so it waits until
 * this routine has read them.
 */
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Job } from '../../scheduler/state/task-attempt.js';
import type { EndedJob, JobStore } from '../api/job-store.js';
import type { ControllerContext } from '../context.js';
import { measureHold } from '../event-loop-hold.js';
import { applyInTurns, STEPS_PER_RECORD } from '../work-in-turns.js';

/** Maximum number of dependency lists read concurrently. */
const MAX_CONCURRENT_READS = 8;

/** Poll interval while reads succeed, in round intervals. */
const POLL_ROUND_INTERVALS = 2;

/**
 * A dependency is not among the leader's live jobs and has no end record. It was
 * moved between the two reads, or its record is lost or can't be decoded.
 */
export class MissingDependencyError extends Error {
  constructor(readonly jobId: string) {
    super(`job ${jobId} is not among the live jobs and has no end record`);
  }
}

/** Resolves dependencies for one leader term. */
export class DependencyResolver {
  constructor(
    private readonly ctx: ControllerContext,
    private readonly cluster: ClusterState,
    private readonly store: JobStore,
  ) {}

  /** Resolves pending dependencies until the signal is aborted; throws `AbortedError` then. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    while (!signal.aborted) {
      const failed = await this.resolvePending(signal);
      await clock.sleep(
        failed ? timing.renewalIntervalMs : timing.placementIntervalMs * POLL_ROUND_INTERVALS,
        signal,
      );
    }
  }

  /** Returns true when a read failed. */
  private async resolvePending(signal: AbortSignal): Promise<boolean> {
    const { dependencies } = this.cluster;
    const unread = [...dependencies.jobsWithUnreadDependencies].slice(0, MAX_CONCURRENT_READS);
    const results = await Promise.allSettled([
      this.readEnds([...dependencies.jobsWithUnknownEnd], signal),
      ...unread.map((job) => this.readList(job, signal)),
    ]);
    const failure = results.find((result) => result.status === 'rejected');
    if (failure && !signal.aborted)
      this.ctx.log.debug(
        { err: failure.reason },
        'dependency read failed; retrying after a renewal interval',
      );
    return failure !== undefined;
  }

  private async readList(job: Job, signal: AbortSignal): Promise<void> {
    const { id } = job.spec;
    const stored = await this.store.find(id, RequestPriority.completions, signal);
    // The job has ended in the meantime; the job watch is about to report it.
    if (!stored?.live) return;
    const ids = await this.store.dependenciesOf(
      id,
      stored.record,
      RequestPriority.completions,
      signal,
    );
    if (!ids) return;
    measureHold(this.ctx, 'dependencies read', () => this.cluster.addReadDependencies(job, ids));
  }

  /**
   * Reads all ends together: one job may wait for thousands of jobs that ended
   * before this term.
   */
  private async readEnds(ids: readonly string[], signal: AbortSignal): Promise<void> {
    if (ids.length === 0) return;
    const ends = await this.store.findManyEnded(ids, RequestPriority.completions, signal);
    await this.applyEnds(ends, signal);
    // A job that has become known meanwhile is live.
    const { jobsWithUnknownEnd } = this.cluster.dependencies;
    const missing = ids.find((id) => !ends.has(id) && jobsWithUnknownEnd.has(id));
    if (missing !== undefined) throw new MissingDependencyError(missing);
  }

  /**
   * Records the ends in several turns of the event loop. An end is final, so it holds
   * whatever changes between two turns.
   */
  private async applyEnds(ends: ReadonlyMap<string, EndedJob>, signal: AbortSignal): Promise<void> {
    const { jobRegistry } = this.cluster;
    jobRegistry.deferPropagation();
    try {
      await applyInTurns(
        this.ctx,
        'job ends applied',
        [...ends],
        ([id, { record }]) => {
          this.cluster.endJob(id, { state: record.state, at: record.at ?? null });
          return STEPS_PER_RECORD;
        },
        signal,
      );
    } finally {
      jobRegistry.resumePropagation();
    }
  }
}
