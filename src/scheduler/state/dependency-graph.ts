/** Which live jobs depend on which others, and what follows from it: waiting, cancellation and urgency. */

import type { JobEnd } from '../../model/job.js';
import { type EffectiveDeadline, isSameDeadline, isTighter } from './effective-deadline.js';
import type { JobState } from './job-state.js';
import type { Job } from './task-attempt.js';

/** Ends of jobs that are remembered, so that a job which depends on one of them need not look it up. */
const MAX_REMEMBERED_ENDS = 2000;

/** What the graph needs to know of the work to tell how long a path takes. */
export interface DurationEstimator {
  /** Seconds that the longest task of the job is expected to take. */
  longestTaskS(job: JobState): number;
}

/** A job, and one that depends on it. */
interface Dependency {
  dependency: Job;
  dependent: Job;
}

/**
 * The graph of dependencies between live jobs. A job waits until all of its
 * dependencies are durably done; when one of them is cancelled, so are all
 * jobs that depend on it, directly or through others. There are no cycles,
 * since a job names only jobs that were accepted before it.
 *
 * Users set priority and deadline on the last job of a pipeline only, so both
 * are inherited by its dependencies: a job has the highest priority of itself
 * and all its dependents, and the deadline among theirs that leaves it the
 * least time.
 *
 * The walks are iterative: a chain of dependencies may be longer than the
 * call stack is deep.
 */
export class DependencyGraph {
  /** By id of a job, live or ended: the live jobs that depend on it. */
  private readonly dependents = new Map<string, Set<Job>>();
  /** How jobs have ended, the oldest first; at most `MAX_REMEMBERED_ENDS`. */
  private readonly knownEnds = new Map<string, JobEnd>();
  /** Jobs that others depend on and that are no longer live: how they ended has to be read. */
  readonly unresolvedEnds = new Set<string>();
  /** Jobs with ids of dependencies in further records, which have to be read. */
  readonly unreadLists = new Set<Job>();

  constructor(
    /** The live jobs. */
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly durations: DurationEstimator,
  ) {}

  /** Adds dependencies of a live job. Those that are known to be done count as met at once. */
  addDependencies(job: Job, dependencyIds: readonly string[]): void {
    for (const id of dependencyIds) {
      const end = this.knownEnds.get(id);
      if (end?.state === 'done') job.dependencyDone(id, end.at);
      else this.addPendingDependency(job, id, end ?? null);
    }
    if (job.dependencyCancelled) this.cancelDependents(job.spec.id);
  }

  /** The ids of the job's dependencies have to be read first: until then nothing of it may start. */
  deferDependencies(job: Job): void {
    job.dependenciesUnread = true;
    this.unreadLists.add(job);
  }

  /** The ids of the job's dependencies have been read: these are all. */
  addReadDependencies(job: Job, dependencyIds: readonly string[]): void {
    job.dependenciesUnread = false;
    this.unreadLists.delete(job);
    this.addDependencies(job, dependencyIds);
  }

  /** The job is not live any more; null: it is not known how it ended. */
  jobEnded(id: string, end: JobEnd | null): void {
    const job = this.jobs.get(id);
    if (job) this.removeDependencies(job);
    if (end) this.rememberEnd(id, end);
    const known = end ?? this.knownEnds.get(id) ?? null;
    if (!known) {
      if (this.dependents.has(id)) this.unresolvedEnds.add(id);
      return;
    }
    this.unresolvedEnds.delete(id);
    if (known.state === 'cancelled') this.cancelDependents(id);
    else this.releaseDependents(id, known.at);
  }

  /** Whether other jobs wait for this one: its end should be durable soon. */
  hasDependents(id: string): boolean {
    return this.dependents.has(id);
  }

  /** All tasks that the job waits for are running: it will be ready within the length of a task. */
  isAboutToBeReady(job: Job): boolean {
    if (job.dependencyCancelled || job.dependenciesUnread || job.pendingDependencies.size === 0)
      return false;
    for (const id of job.pendingDependencies) {
      const dependency = this.jobs.get(id);
      if (
        !dependency ||
        dependency.awaitsDependencies ||
        dependency.readyCount > 0 ||
        dependency.backedOffCount > 0
      )
        return false;
    }
    return true;
  }

  /** `end`: how the dependency ended, when it was cancelled; null: it is live, or that is not known. */
  private addPendingDependency(job: Job, id: string, end: JobEnd | null): void {
    if (end?.state === 'cancelled') job.dependencyCancelled = true;
    job.pendingDependencies.add(id);
    const dependents = this.dependents.get(id);
    if (dependents) dependents.add(job);
    else this.dependents.set(id, new Set([job]));
    const dependency = this.jobs.get(id);
    if (dependency?.dependencyCancelled) job.dependencyCancelled = true;
    if (dependency) this.propagateUrgency(dependency, job);
    else if (!end) this.unresolvedEnds.add(id);
  }

  private rememberEnd(id: string, end: JobEnd): void {
    this.knownEnds.set(id, end);
    if (this.knownEnds.size <= MAX_REMEMBERED_ENDS) return;
    const oldest = this.knownEnds.keys().next().value;
    if (oldest !== undefined) this.knownEnds.delete(oldest);
  }

  /** The job has been done since the time of day `at`: none of its dependents waits for it any more. */
  private releaseDependents(id: string, at: number | null): void {
    const dependents = this.dependents.get(id);
    if (!dependents) return;
    this.dependents.delete(id);
    for (const job of dependents) job.dependencyDone(id, at);
  }

  /** Marks all jobs that depend on this one; each is marked once, however many paths lead to it. */
  private cancelDependents(cancelledId: string): void {
    const toVisit = [cancelledId];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop())
      for (const dependent of this.dependents.get(id) ?? []) {
        if (dependent.dependencyCancelled) continue;
        dependent.dependencyCancelled = true;
        toVisit.push(dependent.spec.id);
      }
  }

  /** The job has ended itself, so its dependencies need not be in time for it any more. */
  private removeDependencies(job: Job): void {
    this.unreadLists.delete(job);
    for (const id of job.pendingDependencies) {
      const dependents = this.dependents.get(id);
      if (!dependents?.delete(job)) continue;
      if (dependents.size === 0) {
        this.dependents.delete(id);
        this.unresolvedEnds.delete(id);
      }
      const dependency = this.jobs.get(id);
      if (dependency) this.recomputeUrgency(dependency);
    }
  }

  // Urgency: priority and effective deadline

  /** Lets a job's dependencies inherit its urgency, as far along the paths as it changes anything. */
  private propagateUrgency(dependency: Job, dependent: Job): void {
    const toVisit: Dependency[] = [{ dependency, dependent }];
    for (let edge = toVisit.pop(); edge; edge = toVisit.pop()) {
      if (!this.inheritUrgency(edge)) continue;
      for (const next of this.liveDependencies(edge.dependency))
        toVisit.push({ dependency: next, dependent: edge.dependency });
    }
  }

  /** Raises the dependency's urgency to that of its dependent. False: it was no less urgent before. */
  private inheritUrgency({ dependency, dependent }: Dependency): boolean {
    const priority = Math.min(dependency.priority, dependent.priority);
    const inherited = this.deadlineThrough(dependent);
    const tighter = inherited !== null && isTighter(inherited, dependency.effectiveDeadline);
    if (priority === dependency.priority && !tighter) return false;
    dependency.priority = priority;
    if (tighter) dependency.effectiveDeadline = inherited;
    return true;
  }

  /** The deadline that a job leaves to its dependencies: its own tasks' time comes off it. */
  private deadlineThrough(dependent: Job): EffectiveDeadline | null {
    const deadline = dependent.effectiveDeadline;
    if (deadline === null) return null;
    const pathS = deadline.remainingPathS + this.durations.longestTaskS(dependent);
    return { job: deadline.job, remainingPathS: pathS };
  }

  /** A dependent of the job has ended: its urgency, and that of its dependencies, follow from those that are left. */
  private recomputeUrgency(changed: Job): void {
    const toVisit = [changed];
    for (let job = toVisit.pop(); job; job = toVisit.pop()) {
      const { priority, effectiveDeadline } = job;
      job.resetUrgency();
      for (const dependent of this.dependents.get(job.spec.id) ?? [])
        this.inheritUrgency({ dependency: job, dependent });
      const unchanged =
        job.priority === priority && isSameDeadline(job.effectiveDeadline, effectiveDeadline);
      if (unchanged) continue;
      for (const dependency of this.liveDependencies(job)) toVisit.push(dependency);
    }
  }

  /** The job's pending dependencies that are live, in the order in which they were named. */
  private liveDependencies(job: Job): Job[] {
    const dependencies: Job[] = [];
    for (const id of job.pendingDependencies) {
      const dependency = this.jobs.get(id);
      if (dependency) dependencies.push(dependency);
    }
    return dependencies;
  }
}
