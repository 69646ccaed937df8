/** Determines the state of a job as users see it, from its record and the leader's counts. */
import type { JobState } from '../../protocol/job-protocol.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import type { DependencyStatus } from './dependency-status.js';
import {
  type EndedJob,
  hasDependencies,
  type JobStore,
  type LiveJob,
  MissingJobEndError,
  type StoredJob,
} from './job-store.js';

/** Task counts of a live job, for display only; they may lag behind. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** Provides task counts from the leader on this node, or those that a leading peer last sent. */
export interface TaskCountSource {
  /** Returns null when the job's counts are unknown. */
  taskCountsOf(jobId: string): TaskCounts | null;
}

/** A job's state, and the version of the record that it was read from. */
export interface JobStatus {
  state: JobState;
  /** Number of tasks in the array. */
  tasks: number;
  /** Version of the record; for an ended job, the revision at which it ended. */
  version: number;
  /** The live job; null when it has ended. */
  live: LiveJob | null;
}

/** Dependencies of JobStatusReader. */
export interface JobStatusSources {
  store: JobStore;
  dependencies: DependencyStatus;
  taskCounts: TaskCountSource;
}

/**
 * Determines the states of jobs. Invariant: no node later contradicts what any
 * node has reported about a job's end, so 'done' and 'cancelled' are reported only
 * once the end is durable.
 */
export class JobStatusReader {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'log'>,
    private readonly sources: JobStatusSources,
  ) {}

  /** Returns the job's status; null when it was never accepted. */
  async find(id: string, priority: RequestPriority): Promise<JobStatus | null> {
    const job = await this.sources.store.find(id, priority);
    return job && this.statusOf(id, job, priority);
  }

  /**
   * Returns the status of a job that was just read. If the job has not started
   * and one of its dependencies was cancelled, cancels it first.
   */
  async statusOf(id: string, job: StoredJob, priority: RequestPriority): Promise<JobStatus> {
    if (!job.live) return endedStatus(job);
    const counts = this.sources.taskCounts.taskCountsOf(id);
    const running = (counts?.running ?? 0) > 0;
    const started = running || (counts?.done ?? 0) > 0;
    if (!started && hasDependencies(job.record)) {
      const end = await this.cancelIfDependencyCancelled(id, job, priority);
      if (end) return end;
    }
    return {
      state: running ? 'running' : 'queued',
      tasks: job.record.spec.tasks,
      version: job.version,
      live: job,
    };
  }

  /**
   * Cancels the job if one of its dependencies is cancelled; returns null when
   * none is. The leader does the same, but it may not have done so yet, or may be
   * unavailable for longer than 'queued' may be reported after the cancellation.
   * The job is reported as cancelled only once that is durable.
   */
  private async cancelIfDependencyCancelled(
    id: string,
    job: LiveJob,
    priority: RequestPriority,
  ): Promise<JobStatus | null> {
    const { store, dependencies } = this.sources;
    if (!(await dependencies.isCancelledByDependency(id, job.record, priority))) return null;
    const cancelled = await store.cancel(job, priority);
    if (cancelled.ok) {
      this.ctx.log.info({ job: id }, 'job cancelled with its dependency');
      const { tasks } = job.record.spec;
      return { state: 'cancelled', tasks, version: cancelled.revision, live: null };
    }
    // The live record never changes, so the transaction failed because the job has ended meanwhile.
    const end = await store.findEnded(id, priority);
    if (!end) throw new MissingJobEndError(id);
    return endedStatus(end);
  }
}

function endedStatus(job: EndedJob): JobStatus {
  const { state, tasks } = job.record;
  return { state, tasks, version: job.version, live: null };
}
