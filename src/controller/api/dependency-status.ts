import { SINGLE_READS } from '../../clients/key-ranges.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencySnapshot } from './dependency-snapshot.js';
import {
  hasInlineDependencies,
  type JobStore,
  type LiveJobRecord,
  type StoredJob,
} from './job-store.js';

/** What was seen of a job. Ends are final; that it is live counts for a while only. */
type ObservedJob =
  | { state: 'done' | 'cancelled' }
  | { state: 'live'; upstream: readonly string[]; readAt: number };

/** How the jobs that a submission names stand. */
export interface DependencySummary {
  /** Never accepted by anybody. */
  missing: string[];
  /** One of them was cancelled, or needs one that was. */
  cancelled: boolean;
  /** Neither done nor cancelled. */
  pending: string[];
}

/** Jobs that are remembered, the least recently read first to go. To forget one costs a reading. */
const MAX_REMEMBERED_JOBS = 5000;
/** Jobs read one by one for one question, before all live ones are read together. */
const MAX_SINGLE_READS = 16;

/** More has to be read one by one than a question may cost. */
class ReadAllowanceExceededError extends Error {}

/** What one question may read one by one. */
interface ReadAllowance {
  left: number;
  /** It waits for nobody: when others read as well, it is better to read all jobs together. */
  whileOthersRead: boolean;
}

/**
 * What a node knows of jobs that others need. The leader carries a
 * cancellation to all that needs the job, but it may be away for longer than
 * users may be told otherwise, so a node that is about to call a waiting job
 * queued looks for itself at what that needs: a few jobs one by one, larger
 * trees in a snapshot of all live jobs that questions share.
 */
export class DependencyStatus {
  private readonly observed = new Map<string, ObservedJob>();
  private snapshot: DependencySnapshot | null = null;
  private snapshotInProgress: Promise<DependencySnapshot> | null = null;
  /** Reads of single jobs under way. */
  private readsInFlight = 0;

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'state'>,
    private readonly store: JobStore,
  ) {}

  /** For a submission that names these jobs. */
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

  /** Whether a job that this live one needs, directly or through others, was cancelled. */
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

  private async anyCancelled(ids: readonly string[], priority: RequestPriority): Promise<boolean> {
    try {
      return await this.walk(ids, priority, { left: MAX_SINGLE_READS, whileOthersRead: false });
    } catch (error) {
      if (!(error instanceof ReadAllowanceExceededError)) throw error;
    }
    await this.takeSnapshot(priority);
    // What is left is what was accepted after the snapshot.
    return this.walk(ids, priority, { left: MAX_SINGLE_READS, whileOthersRead: true });
  }

  /** Looks at the jobs and at all that they need, as far as no snapshot knows them. */
  private async walk(
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
      const seen = await this.read(id, priority, allowance);
      if (seen?.state === 'cancelled') return true;
      if (seen?.state !== 'live') continue;
      for (const needed of seen.upstream) {
        if (visited.has(needed)) continue;
        visited.add(needed);
        open.push(needed);
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

  /** One at a time, for all questions that want one. */
  private async takeSnapshot(priority: RequestPriority): Promise<void> {
    this.snapshotInProgress ??= DependencySnapshot.take(
      this.ctx,
      this.store,
      this.snapshot,
      priority,
    );
    const { snapshotInProgress: taking } = this;
    try {
      this.snapshot = await taking;
    } finally {
      if (this.snapshotInProgress === taking) this.snapshotInProgress = null;
    }
  }

  private async read(
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
      const upstream = (await this.store.dependenciesOf(id, job.record, priority)) ?? [];
      return this.remember(id, { state: 'live', upstream, readAt });
    } finally {
      this.readsInFlight--;
    }
  }

  /** Keeps what one reading told of a job, unless what it needs has to be read as well. */
  private rememberIfComplete(id: string, job: StoredJob, readAt: number): void {
    if (!job.live) this.remember(id, { state: job.record.state });
    else if (hasInlineDependencies(job.record))
      this.remember(id, { state: 'live', upstream: job.record.dependencies ?? [], readAt });
  }

  private remember(id: string, seen: ObservedJob): ObservedJob {
    this.observed.delete(id);
    this.observed.set(id, seen);
    if (this.observed.size > MAX_REMEMBERED_JOBS) {
      const oldest = this.observed.keys().next().value;
      if (oldest !== undefined) this.observed.delete(oldest);
    }
    return seen;
  }
}
