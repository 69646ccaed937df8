/** The live jobs of a leader term, and what keeps ended ones from coming back. */
import {
  type DependencyList,
  type JobEnd,
  type JobSpec,
  NO_DEPENDENCIES,
} from '../../model/job.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { DependencyGraph } from './dependency-graph.js';
import type { RoundTrigger } from './round-trigger.js';
import { Job } from './task-attempt.js';
import type { TaskAttempts } from './task-attempts.js';
import type { WorkEstimates } from './work-estimates.js';

/** What the registry works with. */
export interface JobRegistryOptions {
  attempts: TaskAttempts;
  estimates: WorkEstimates;
  bitmaps: BitmapLayout;
  roundTrigger: RoundTrigger;
}

/**
 * Owns the live jobs, and the keys of ended ones that are to be deleted.
 * Invariant: once a job's cancellation has been announced, no older event of
 * the watch on jobs brings it back.
 */
export class JobRegistry {
  /** Live jobs by id, in the order in which they were added. */
  readonly jobs = new Map<string, Job>();
  /** Which jobs wait for which others. */
  readonly dependencies: DependencyGraph;
  /** Keys of ended jobs in the state service that nobody needs. */
  readonly obsoleteKeys = new Set<string>();
  /** Cancellations that a controller announced, by the revision of each: watch events from before it are stale. */
  private readonly announcedCancellations = new Map<string, number>();
  /** The revision up to which the watch on jobs has been applied. */
  private appliedRevision = 0;
  private readonly attempts: TaskAttempts;
  private readonly estimates: WorkEstimates;
  private readonly bitmaps: BitmapLayout;
  private readonly roundTrigger: RoundTrigger;

  constructor(options: JobRegistryOptions) {
    this.attempts = options.attempts;
    this.estimates = options.estimates;
    this.bitmaps = options.bitmaps;
    this.roundTrigger = options.roundTrigger;
    this.dependencies = new DependencyGraph(this.jobs, options.estimates);
  }

  /**
   * A live job has been read. Returns null when it is known already or its
   * cancellation has been announced.
   */
  add(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    inherited: boolean,
    dependencies: DependencyList = NO_DEPENDENCIES,
  ): Job | null {
    if (this.jobs.has(spec.id) || this.announcedCancellations.has(spec.id)) return null;
    const job = new Job(spec, version, acceptedAt, inherited);
    this.jobs.set(spec.id, job);
    job.ownedKeys.push(...dependencies.keys);
    if (dependencies.unread) this.dependencies.deferDependencies(job);
    else this.dependencies.addDependencies(job, dependencies.ids);
    this.estimates.recordArrival(spec);
    this.roundTrigger.request();
    return job;
  }

  /** The pages with the job's further dependencies have been read. */
  addReadDependencies(job: Job, dependencies: readonly string[]): void {
    if (job.ended) return;
    this.dependencies.addReadDependencies(job, dependencies);
    this.roundTrigger.request();
  }

  /**
   * The job has been cancelled or its end is durable: nothing of it may start,
   * what runs is stopped. Null: it is not known how it ended.
   */
  end(id: string, end: JobEnd | null): void {
    this.dependencies.jobEnded(id, end);
    this.roundTrigger.request();
    const job = this.jobs.get(id);
    if (!job) return;
    job.ended = true;
    this.jobs.delete(id);
    for (const chunk of job.chunkVersions.keys())
      this.obsoleteKeys.add(this.bitmaps.key(id, chunk));
    for (const key of job.ownedKeys) this.obsoleteKeys.add(key);
    this.attempts.endAll(job);
    for (const waiting of job.unsavedChunks.values())
      for (const attempt of waiting) attempt.mayBeForgotten = true;
    job.unsavedChunks.clear();
  }

  /** The job's cancellation is durable at this revision, which the watch on jobs may not have reached. */
  announceCancellation(id: string, revision: number): void {
    if (revision <= this.appliedRevision) return;
    this.announcedCancellations.set(id, revision);
    this.end(id, { state: 'cancelled', at: null });
  }

  /** The watch on jobs has been applied up to this revision. */
  markCurrent(revision: number): void {
    this.appliedRevision = revision;
    for (const [id, cancelledAt] of this.announcedCancellations)
      if (cancelledAt <= revision) this.announcedCancellations.delete(id);
  }
}
