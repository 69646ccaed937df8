/**
 * Whether dependencies of a job were cancelled, as a node without leadership
 * finds out for itself.
 *
 * The leader cancels the dependents of a cancelled job, but it may be away for
 * longer than users may be told that such a job is queued. So a node that is
 * about to call a waiting job queued looks at its dependencies: a few jobs one
 * by one, larger graphs in a snapshot of all live jobs that requests share.
 *
 * What is cached, for how long and why that is safe:
 *
 * - That a job has ended, and how: for as long as there is room, since an end
 *   is never rewritten.
 * - That a job is live, with its dependencies, and the snapshot: for
 *   `dependencyFreshMs` from when its reading was asked for, a fraction of
 *   `cancel_s`. A dependent may be called queued for that long after the
 *   cancellation of its dependency, which is well within the time that
 *   cancellations are given. Nothing is called cancelled by the cache alone:
 *   the caller makes it durable first.
 */
import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { LiveJobRecord } from '../../records/job-record.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencySnapshot } from './dependency-snapshot.js';
import { hasInlineDependencies, type JobStore, type StoredJob } from './job-store.js';

/** What was read of a job. Ends are final; that it is live counts for a while only. */
type ObservedJob =
  | { state: 'done' | 'cancelled' }
  | { state: 'live'; dependencies: readonly string[]; readAt: number };

/** The states of the dependencies that a submission names. */
export interface DependencySummary {
  /** Never accepted by any node. */
  missing: string[];
  /** One of them was cancelled or depends on a job that was. */
  cancelled: boolean;
  /** Live when they were read. */
  pending: string[];
}

/** Observed jobs that are kept; the least recently read is evicted, which costs another read. */
const MAX_OBSERVED_JOBS = 5000;

/** Jobs read one by one for one request, before all live ones are read in a snapshot. */
const MAX_SINGLE_READS = 16;

/** More would have to be read one by one than a request may. */
class ReadAllowanceExceededError extends Error {}

/** What one request may still read one by one. */
interface ReadAllowance {
  left: number;
  /** Also while many other reads are in flight; otherwise a snapshot is the better choice then. */
  whileOthersRead: boolean;
}

/** Answers for one node whether dependencies were cancelled. */
export class DependencyStatus {
  /** In the order of their reads, the least recent first. */
  private readonly observed = new Map<string, ObservedJob>();
  private snapshot: DependencySnapshot | null = null;
  private snapshotInProgress: Promise<DependencySnapshot> | null = null;
  /** Reads of single jobs in flight. */
  private readsInFlight = 0;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'state'>,
    private readonly store: JobStore,
  ) {}

  /**
   * The states of the dependencies that a submission names. Each is read anew;
   * only whether those that are live depend on a cancelled job may rest on the
   * cache.
   */
  async summarize(ids: readonly string[], priority: RequestPriority): Promise<DependencySummary> {
    const readAt = this.ctx.clock.now();
    const jobs = await this.store.findMany(ids, priority);
    const missing: string[] = [];
    const pending: string[] = [];
    let cancelled = false;
    for (const id of ids) {
      const job = jobs.get(id);
      if (!job) missing.push(id);
      else if (job.live) pending.push(id);
      else if (job.record.state === 'cancelled') cancelled = true;
    }
    if (missing.length > 0 || cancelled) return { missing, cancelled, pending };
    for (const [id, job] of jobs) this.rememberIfComplete(id, job, readAt);
    cancelled = await this.anyCancelled(pending, priority);
    return { missing, cancelled, pending };
  }

  /** Whether a dependency of this live job, direct or through others, was cancelled. */
  async isCancelledByDependency(
    id: string,
    record: LiveJobRecord,
    priority: RequestPriority,
  ): Promise<boolean> {
    const known = this.freshSnapshot()?.isCancelled(id) ?? null;
    if (known !== null) return known;
    const ids = await this.store.dependenciesOf(id, record, priority);
    return ids !== null && this.anyCancelled(ids, priority);
  }

  /** Whether one of the jobs was cancelled or depends on one that was. */
  private async anyCancelled(ids: readonly string[], priority: RequestPriority): Promise<boolean> {
    try {
      return await this.searchCancelled(ids, priority, {
        left: MAX_SINGLE_READS,
        whileOthersRead: false,
      });
    } catch (error) {
      if (!(error instanceof ReadAllowanceExceededError)) throw error;
    }
    await this.takeSnapshot(priority);
    // The few jobs that were accepted after the snapshot are left to be read one by one.
    return this.searchCancelled(ids, priority, { left: MAX_SINGLE_READS, whileOthersRead: true });
  }

  /**
   * Walks the jobs and all that they depend on, as far as no snapshot knows
   * them. Throws ReadAllowanceExceededError.
   */
  private async searchCancelled(
    ids: readonly string[],
    priority: RequestPriority,
    allowance: ReadAllowance,
  ): Promise<boolean> {
    const snapshot = this.freshSnapshot();
    const visited = new Set(ids);
    const open = [...visited];
    for (let id = open.pop(); id !== undefined; id = open.pop()) {
      const known = snapshot?.isCancelled(id) ?? null;
      if (known) return true;
      if (known === false) continue;
      const job = await this.observe(id, priority, allowance);
      if (job?.state === 'cancelled') return true;
      if (job?.state !== 'live') continue;
      for (const dependency of job.dependencies) {
        if (visited.has(dependency)) continue;
        visited.add(dependency);
        open.push(dependency);
      }
    }
    return false;
  }

  private freshSnapshot(): DependencySnapshot | null {
    const { clock, timing } = this.ctx;
    const { snapshot } = this;
    if (snapshot && clock.now() - snapshot.askedAt < timing.dependencyFreshMs) return snapshot;
    return null;
  }

  /** Takes a snapshot, or waits for the one in progress: one at a time serves all requests. */
  private async takeSnapshot(priority: RequestPriority): Promise<void> {
    this.snapshotInProgress ??= DependencySnapshot.take(
      this.ctx,
      this.store,
      this.snapshot,
      priority,
    );
    const { snapshotInProgress } = this;
    try {
      this.snapshot = await snapshotInProgress;
    } finally {
      if (this.snapshotInProgress === snapshotInProgress) this.snapshotInProgress = null;
    }
  }

  /** The job from the cache or read now; null when it was never accepted. */
  private async observe(
    id: string,
    priority: RequestPriority,
    allowance: ReadAllowance,
  ): Promise<ObservedJob | null> {
    const { clock, timing } = this.ctx;
    const known = this.observed.get(id);
    const readAt = clock.now();
    if (known && (known.state !== 'live' || readAt - known.readAt < timing.dependencyFreshMs))
      return known;
    const crowded = this.readsInFlight >= SINGLE_READS && !allowance.whileOthersRead;
    if (--allowance.left < 0 || crowded) throw new ReadAllowanceExceededError();
    this.readsInFlight++;
    try {
      const job = await this.store.find(id, priority);
      if (!job) return null;
      if (!job.live) return this.remember(id, { state: job.record.state });
      const dependencies = (await this.store.dependenciesOf(id, job.record, priority)) ?? [];
      return this.remember(id, { state: 'live', dependencies, readAt });
    } finally {
      this.readsInFlight--;
    }
  }

  /** Caches a job that was just read, unless its dependencies would have to be read as well. */
  private rememberIfComplete(id: string, job: StoredJob, readAt: number): void {
    if (!job.live) this.remember(id, { state: job.record.state });
    else if (hasInlineDependencies(job.record)) {
      const dependencies = job.record.dependencies ?? [];
      this.remember(id, { state: 'live', dependencies, readAt });
    }
  }

  private remember(id: string, job: ObservedJob): ObservedJob {
    this.observed.delete(id);
    this.observed.set(id, job);
    if (this.observed.size > MAX_OBSERVED_JOBS) {
      const leastRecent = this.observed.keys().next().value;
      if (leastRecent !== undefined) this.observed.delete(leastRecent);
    }
    return job;
  }
}
