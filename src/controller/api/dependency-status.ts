/**
 * Determines whether dependencies of a job were cancelled, on any node and
 * without the leader.
 *
 * The leader cancels the dependents of a cancelled job, but it may be
 * unavailable for longer than such a job may be reported as queued. So a node
 * checks the dependencies before it reports a waiting job as queued: a few jobs
 * individually, larger graphs in a snapshot of all live jobs that requests share.
 *
 * The cache holds:
 *
 * - The final state of an ended job: until it is evicted, since an end is never
 *   rewritten.
 * - The live state of a job with its dependencies, and the snapshot: for
 *   `dependencyFreshMs` from the start of the read, a fraction of `cancel_s`. A
 *   dependent may be reported as queued for that long after the cancellation of
 *   its dependency, which is well within the time allowed for cancellations.
 *
 * No job is reported as cancelled on the basis of the cache alone: the caller
 * makes the cancellation durable first.
 */
import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { LiveJobRecord } from '../../records/job-record.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import { DependencySnapshot, type SnapshotContext } from './dependency-snapshot.js';
import { hasInlineDependencies, type JobStore, type StoredJob } from './job-store.js';

/** A job as it was last read. An end is final; a live state expires after `dependencyFreshMs`. */
type CachedJob =
  | { state: 'done' | 'cancelled' }
  | { state: 'live'; dependencies: readonly string[]; readStartedAt: number };

/** States of the dependencies of a submission. */
export interface DependencySummary {
  /** Dependencies that were never accepted by any node. */
  missing: string[];
  /**
   * Whether one of them was cancelled or depends on a cancelled job. When some
   * are missing, dependencies of the others are not checked.
   */
  cancelled: boolean;
  /** Dependencies that were live when they were read. */
  pending: string[];
}

/** Maximum number of cached jobs; the least recently read is evicted, which costs another read. */
const MAX_CACHED_JOBS = 5000;

/** Jobs read individually for one request before all live jobs are read in a snapshot. */
const MAX_SINGLE_READS = 16;

/** The request may not make another individual read: its budget is used up, or too many are in flight. */
class ReadBudgetExceededError extends Error {}

/** Limits the individual reads of one request. */
interface ReadBudget {
  remaining: number;
  /** Whether to read even while many others are in flight, when a snapshot is usually preferred. */
  ignoreReadsInFlight: boolean;
}

/** Determines whether dependencies were cancelled, with a cache for one node. */
export class DependencyStatus {
  /** Cached jobs by id, the least recently read first. */
  private readonly cachedJobs = new Map<string, CachedJob>();
  private snapshot: DependencySnapshot | null = null;
  private snapshotInFlight: Promise<DependencySnapshot> | null = null;
  /** Number of individual reads in flight. */
  private readsInFlight = 0;

  constructor(
    private readonly ctx: SnapshotContext,
    private readonly store: JobStore,
  ) {}

  /**
   * Returns the states of a submission's dependencies. Each dependency is read
   * from the state service; the cache is used only to determine whether the live
   * ones depend on a cancelled job.
   */
  async summarize(ids: readonly string[], priority: RequestPriority): Promise<DependencySummary> {
    const readStartedAt = this.ctx.clock.now();
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
    for (const [id, job] of jobs) this.cacheIfComplete(id, job, readStartedAt);
    cancelled = await this.anyCancelled(pending, priority);
    return { missing, cancelled, pending };
  }

  /**
   * Reports whether a direct or transitive dependency of this live job was
   * cancelled. Returns false when the job has ended and its dependencies were
   * removed meanwhile.
   */
  async isCancelledByDependency(
    id: string,
    record: LiveJobRecord,
    priority: RequestPriority,
  ): Promise<boolean> {
    const cancelled = this.freshSnapshot()?.isCancelled(id) ?? null;
    if (cancelled !== null) return cancelled;
    const ids = await this.store.dependenciesOf(id, record, priority);
    return ids !== null && this.anyCancelled(ids, priority);
  }

  /** Reports whether one of the jobs was cancelled or depends on a cancelled one. */
  private async anyCancelled(ids: readonly string[], priority: RequestPriority): Promise<boolean> {
    try {
      return await this.searchForCancelled(ids, priority, {
        remaining: MAX_SINGLE_READS,
        ignoreReadsInFlight: false,
      });
    } catch (error) {
      if (!(error instanceof ReadBudgetExceededError)) throw error;
    }
    await this.refreshSnapshot(priority);
    // Only the few jobs accepted after the snapshot remain to be read individually.
    return this.searchForCancelled(ids, priority, {
      remaining: MAX_SINGLE_READS,
      ignoreReadsInFlight: true,
    });
  }

  /**
   * Walks the jobs and their dependencies, down to those that a fresh snapshot
   * covers. Throws ReadBudgetExceededError.
   */
  private async searchForCancelled(
    ids: readonly string[],
    priority: RequestPriority,
    budget: ReadBudget,
  ): Promise<boolean> {
    const snapshot = this.freshSnapshot();
    const visited = new Set(ids);
    const frontier = [...visited];
    for (let id = frontier.pop(); id !== undefined; id = frontier.pop()) {
      const cancelled = snapshot?.isCancelled(id) ?? null;
      if (cancelled) return true;
      if (cancelled === false) continue;
      const job = await this.getOrRead(id, priority, budget);
      if (job?.state === 'cancelled') return true;
      if (job?.state !== 'live') continue;
      for (const dependency of job.dependencies) {
        if (visited.has(dependency)) continue;
        visited.add(dependency);
        frontier.push(dependency);
      }
    }
    return false;
  }

  private freshSnapshot(): DependencySnapshot | null {
    const { clock, timing } = this.ctx;
    const { snapshot } = this;
    if (snapshot && clock.now() - snapshot.readStartedAt < timing.dependencyFreshMs)
      return snapshot;
    return null;
  }

  /** Reads a snapshot, or waits for the one in flight, which serves all requests. */
  private async refreshSnapshot(priority: RequestPriority): Promise<void> {
    this.snapshotInFlight ??= DependencySnapshot.read(
      this.ctx,
      this.store,
      this.snapshot,
      priority,
    );
    const { snapshotInFlight } = this;
    try {
      this.snapshot = await snapshotInFlight;
    } finally {
      if (this.snapshotInFlight === snapshotInFlight) this.snapshotInFlight = null;
    }
  }

  /**
   * Returns the job from the cache or the state service; null when it was never
   * accepted. Throws ReadBudgetExceededError.
   */
  private async getOrRead(
    id: string,
    priority: RequestPriority,
    budget: ReadBudget,
  ): Promise<CachedJob | null> {
    const { clock, timing } = this.ctx;
    const cached = this.cachedJobs.get(id);
    const readStartedAt = clock.now();
    if (
      cached &&
      (cached.state !== 'live' || readStartedAt - cached.readStartedAt < timing.dependencyFreshMs)
    )
      return cached;
    const tooManyInFlight = this.readsInFlight >= SINGLE_READS && !budget.ignoreReadsInFlight;
    if (--budget.remaining < 0 || tooManyInFlight) throw new ReadBudgetExceededError();
    this.readsInFlight++;
    try {
      const job = await this.store.find(id, priority);
      if (!job) return null;
      if (!job.live) return this.cacheJob(id, { state: job.record.state });
      const dependencies = (await this.store.dependenciesOf(id, job.record, priority)) ?? [];
      return this.cacheJob(id, { state: 'live', dependencies, readStartedAt });
    } finally {
      this.readsInFlight--;
    }
  }

  /** Caches a job that was just read, unless its dependencies would need further reads. */
  private cacheIfComplete(id: string, job: StoredJob, readStartedAt: number): void {
    if (!job.live) this.cacheJob(id, { state: job.record.state });
    else if (hasInlineDependencies(job.record)) {
      const dependencies = job.record.dependencies ?? [];
      this.cacheJob(id, { state: 'live', dependencies, readStartedAt });
    }
  }

  private cacheJob(id: string, job: CachedJob): CachedJob {
    this.cachedJobs.delete(id);
    this.cachedJobs.set(id, job);
    if (this.cachedJobs.size > MAX_CACHED_JOBS) {
      const leastRecent = this.cachedJobs.keys().next().value;
      if (leastRecent !== undefined) this.cachedJobs.delete(leastRecent);
    }
    return job;
  }
}
