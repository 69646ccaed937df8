/** The state of a job as users are told it, from its record and the leader's counts. */
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

/** Counts of a live job's tasks, for display only: they may lag behind. */
export interface TaskCounts {
  done: number;
  running: number;
}

/** Where counts come from: this node's own leader, or what a peer that leads last sent. */
export interface TaskCountSource {
  /** Null: nothing is known of the job's tasks. */
  taskCountsOf(jobId: string): TaskCounts | null;
}

/** A job's state, and the version of the record that it was read from. */
export interface JobStatus {
  state: JobState;
  /** Number of tasks in the array. */
  tasks: number;
  /** Of a job that has ended: the revision of its end. */
  version: number;
  /** The live job; null when it has ended. */
  live: LiveJob | null;
}

/** What the states of jobs are determined from. */
export interface JobStatusSources {
  store: JobStore;
  dependencies: DependencyStatus;
  taskCounts: TaskCountSource;
}

/**
 * Determines the states of jobs. Invariant: what one node says of a job's end
 * no node contradicts later, so 'done' and 'cancelled' rest on a durable end
 * only.
 */
export class JobStatusReader {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'log'>,
    private readonly sources: JobStatusSources,
  ) {}

  /** The job's status; null when it was never accepted. */
  async find(id: string, priority: RequestPriority): Promise<JobStatus | null> {
    const job = await this.sources.store.find(id, priority);
    return job && this.statusOf(id, job, priority);
  }

  /** The status of a job that was just read. Cancels it first if a dependency was cancelled. */
  async statusOf(id: string, job: StoredJob, priority: RequestPriority): Promise<JobStatus> {
    if (!job.live) return endedStatus(job);
    const counts = this.sources.taskCounts.taskCountsOf(id);
    const running = (counts?.running ?? 0) > 0;
    const started = running || (counts?.done ?? 0) > 0;
    if (!started && hasDependencies(job.record)) {
      const end = await this.cancelWithDependency(id, job, priority);
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
   * A job is cancelled with any of its dependencies. The leader does that, but
   * it may not have done so yet, or be away; 'queued' would then be wrong for
   * longer than users may be told so. The job is called cancelled only once
   * that is durable. Null: none of its dependencies is cancelled.
   */
  private async cancelWithDependency(
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
    // The live record never changes, so another node has ended the job meanwhile.
    const end = await store.findEnd(id, priority);
    if (!end) throw new MissingJobEndError(id);
    return endedStatus(end);
  }
}

function endedStatus(job: EndedJob): JobStatus {
  const { state, tasks } = job.record;
  return { state, tasks, version: job.version, live: null };
}
