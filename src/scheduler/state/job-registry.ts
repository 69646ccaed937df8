/** The live jobs of a leader term. Outdated watch events don't add ended jobs again. */
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

/**
 * Visits of jobs and dependencies with which one change is passed on at once. The
 * rest follows in later turns of the event loop.
 */
const MAX_VISITS_PER_CHANGE = 2000;

/** The parts that the registry uses. */
export interface JobRegistryOptions {
  attempts: TaskAttempts;
  estimates: WorkEstimates;
  bitmaps: BitmapLayout;
  roundTrigger: RoundTrigger;
}

/**
 * Owns the live jobs, and the keys of ended jobs that are to be deleted.
 * Invariant: once a job has ended or its cancellation has been announced, no older
 * event of the job watch and no older list of live jobs adds it again.
 */
export class JobRegistry {
  /** Live jobs by id, in the order in which they were added. */
  readonly jobs = new Map<string, Job>();
  /** The dependencies between jobs. */
  readonly dependencies: DependencyGraph;
  /** State service keys of ended jobs, which are to be deleted. */
  readonly obsoleteKeys = new Set<string>();
  /** Revisions of announced cancellations, by job id. Watch events from before that revision are outdated. */
  private readonly announcedCancellations = new Map<string, number>();
  /** Ids of jobs that ended since the job watch was last applied. What is being applied may be from before. */
  private readonly endedSinceApplied = new Set<string>();
  /** The revision up to which the job watch has been applied. */
  private appliedRevision = 0;
  /** Number of callers that are applying several changes, which are passed on together. */
  private callersApplyingChanges = 0;
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
   * Adds a live job. Returns null when it is present already, has just ended, or
   * its cancellation has been announced.
   */
  add(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    inherited: boolean,
    dependencies: DependencyList = NO_DEPENDENCIES,
  ): Job | null {
    if (this.jobs.has(spec.id) || this.hasEnded(spec.id)) return null;
    const job = new Job(spec, version, acceptedAt, inherited);
    this.jobs.set(spec.id, job);
    this.dependencies.addJob(job);
    job.ownedKeys.push(...dependencies.keys);
    if (dependencies.unread) this.dependencies.deferDependencies(job);
    else this.dependencies.addDependencies(job, dependencies.ids);
    this.passOnChanges();
    this.estimates.recordArrival(spec);
    this.roundTrigger.request();
    return job;
  }

  /** Adds the job's further dependencies after their pages have been read. */
  addReadDependencies(job: Job, dependencies: readonly string[]): void {
    if (job.ended) return;
    this.dependencies.addReadDependencies(job, dependencies);
    this.passOnChanges();
    this.roundTrigger.request();
  }

  /**
   * Ends a job that was cancelled or whose end is durable. No more of its tasks
   * start, and running ones are stopped. `end` is null when it is not known how
   * the job ended.
   */
  end(id: string, end: JobEnd | null): void {
    this.endedSinceApplied.add(id);
    this.dependencies.recordJobEnd(id, end);
    this.passOnChanges();
    this.roundTrigger.request();
    const job = this.jobs.get(id);
    if (!job) return;
    job.ended = true;
    this.jobs.delete(id);
    for (const chunk of job.chunkVersions.keys())
      this.obsoleteKeys.add(this.bitmaps.chunkKey(id, chunk));
    for (const key of job.ownedKeys) this.obsoleteKeys.add(key);
    this.attempts.stopAll(job);
    for (const waiting of job.unsavedChunks.values())
      for (const attempt of waiting) attempt.mayBeForgotten = true;
    job.unsavedChunks.clear();
  }

  /**
   * Defers passing changes on along the dependencies until `resumePropagation` has
   * been called equally often, so that many jobs that are added or ended together
   * are passed on in one pass.
   */
  deferPropagation(): void {
    this.callersApplyingChanges++;
  }

  /** Ends a deferral. After the last one, the changes are passed on like a single change. */
  resumePropagation(): void {
    this.callersApplyingChanges--;
    this.passOnChanges();
  }

  /** Ends a job whose cancellation is durable at this revision, unless the job watch has reached that revision. */
  announceCancellation(id: string, revision: number): void {
    if (revision <= this.appliedRevision) return;
    this.announcedCancellations.set(id, revision);
    this.end(id, { state: 'cancelled', at: null });
  }

  /** Records that the job watch has been applied up to this revision. */
  recordAppliedRevision(revision: number): void {
    this.appliedRevision = revision;
    this.endedSinceApplied.clear();
    for (const [id, cancellationRevision] of this.announcedCancellations)
      if (cancellationRevision <= revision) this.announcedCancellations.delete(id);
  }

  /** Reports whether a job ended, or its cancellation was announced, after what is being applied may have been read. */
  private hasEnded(id: string): boolean {
    return this.endedSinceApplied.has(id) || this.announcedCancellations.has(id);
  }

  private passOnChanges(): void {
    if (this.callersApplyingChanges === 0) this.dependencies.propagate(MAX_VISITS_PER_CHANGE);
  }
}
