/** Dependencies between live jobs, and their effects: waiting, cancellation and inherited urgency. */

import type { JobEnd } from '../../model/job.js';
import { type EffectiveDeadline, isSameDeadline, isTighter } from './effective-deadline.js';
import type { JobState } from './job-state.js';
import type { Job } from './task-attempt.js';

/** Maximum number of job ends kept in memory. A job that depends on one of them needs no read. */
const MAX_REMEMBERED_ENDS = 2000;

/** Expected durations, from which the graph computes how long a path of dependencies takes. */
export interface DurationEstimator {
  /** Returns the expected duration of the job's longest task, in seconds. */
  longestTaskS(job: JobState): number;
}

/** An edge of the graph: a job and one that depends on it. */
interface DependencyEdge {
  dependency: Job;
  dependent: Job;
}

/**
 * The graph of dependencies between live jobs. A job waits until all of its
 * dependencies are durably done. When one of them is cancelled, all jobs that
 * depend on it, directly or transitively, are cancelled too. There are no
 * cycles, since a job can name only jobs that were accepted before it.
 *
 * Users set priority and deadline only on the last job of a pipeline, so its
 * dependencies inherit both: a job has the highest priority among itself and
 * all its dependents, and the deadline among theirs that leaves it the least
 * time.
 *
 * The traversals are iterative, since a chain of dependencies may exceed the
 * depth of the call stack.
 */
export class DependencyGraph {
  /** The live jobs that depend on a job, by the id of that job, which may have ended. */
  private readonly dependents = new Map<string, Set<Job>>();
  /** How jobs have ended, the oldest first. Holds at most `MAX_REMEMBERED_ENDS`. */
  private readonly knownEnds = new Map<string, JobEnd>();
  /** Ids of jobs that others depend on and that are no longer live. How they ended has to be read. */
  readonly jobsWithUnknownEnd = new Set<string>();
  /** Jobs whose dependency ids are partly in further records, which have to be read. */
  readonly jobsWithUnreadDependencies = new Set<Job>();

  constructor(
    /** The live jobs. */
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly estimator: DurationEstimator,
  ) {}

  /** Adds dependencies of a live job. Those that are known to be done are satisfied at once. */
  addDependencies(job: Job, dependencyIds: readonly string[]): void {
    for (const id of dependencyIds) {
      const end = this.knownEnds.get(id);
      if (end?.state === 'done') job.markDependencyDone(id, end.at);
      else this.addPendingDependency(job, id, end ?? null);
    }
    if (job.dependencyCancelled) this.cancelDependents(job.spec.id);
  }

  /** Keeps the job's tasks from starting until the ids of its further dependencies have been read. */
  deferDependencies(job: Job): void {
    job.dependenciesUnread = true;
    this.jobsWithUnreadDependencies.add(job);
  }

  /** Adds the job's further dependencies after all of their ids have been read. */
  addReadDependencies(job: Job, dependencyIds: readonly string[]): void {
    job.dependenciesUnread = false;
    this.jobsWithUnreadDependencies.delete(job);
    this.addDependencies(job, dependencyIds);
  }

  /** Records that the job is no longer live. `end` is null when it is not known how the job ended. */
  recordJobEnd(id: string, end: JobEnd | null): void {
    const job = this.jobs.get(id);
    if (job) this.removeDependencies(job);
    if (end) this.rememberEnd(id, end);
    const knownEnd = end ?? this.knownEnds.get(id) ?? null;
    if (!knownEnd) {
      if (this.dependents.has(id)) this.jobsWithUnknownEnd.add(id);
      return;
    }
    this.jobsWithUnknownEnd.delete(id);
    if (knownEnd.state === 'cancelled') this.cancelDependents(id);
    else this.releaseDependents(id, knownEnd.at);
  }

  /** Reports whether other jobs wait for this one, so that its end should be made durable soon. */
  hasDependents(id: string): boolean {
    return this.dependents.has(id);
  }

  /** Reports whether all tasks that the job waits for are assigned or done, so that it should be ready within the duration of a task. */
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

  /** Adds a dependency. `end` is set when it was cancelled, and null when it is live or its end is not known. */
  private addPendingDependency(job: Job, id: string, end: JobEnd | null): void {
    if (end?.state === 'cancelled') job.dependencyCancelled = true;
    job.pendingDependencies.add(id);
    const dependents = this.dependents.get(id);
    if (dependents) dependents.add(job);
    else this.dependents.set(id, new Set([job]));
    const dependency = this.jobs.get(id);
    if (dependency?.dependencyCancelled) job.dependencyCancelled = true;
    if (dependency) this.propagateUrgency(dependency, job);
    else if (!end) this.jobsWithUnknownEnd.add(id);
  }

  private rememberEnd(id: string, end: JobEnd): void {
    this.knownEnds.set(id, end);
    if (this.knownEnds.size <= MAX_REMEMBERED_ENDS) return;
    const oldest = this.knownEnds.keys().next().value;
    if (oldest !== undefined) this.knownEnds.delete(oldest);
  }

  /**
   * Releases the dependents of a job that has been done since the wall-clock time
   * `at`, which is null when not known.
   */
  private releaseDependents(id: string, at: number | null): void {
    const dependents = this.dependents.get(id);
    if (!dependents) return;
    this.dependents.delete(id);
    for (const job of dependents) job.markDependencyDone(id, at);
  }

  /** Marks all direct and transitive dependents. Each is visited once, however many paths lead to it. */
  private cancelDependents(cancelledId: string): void {
    const toVisit = [cancelledId];
    for (let id = toVisit.pop(); id !== undefined; id = toVisit.pop())
      for (const dependent of this.dependents.get(id) ?? []) {
        if (dependent.dependencyCancelled) continue;
        dependent.dependencyCancelled = true;
        toVisit.push(dependent.spec.id);
      }
  }

  /** Removes the dependencies of a job that has ended, so that they no longer inherit its urgency. */
  private removeDependencies(job: Job): void {
    this.jobsWithUnreadDependencies.delete(job);
    for (const id of job.pendingDependencies) {
      const dependents = this.dependents.get(id);
      if (!dependents?.delete(job)) continue;
      if (dependents.size === 0) {
        this.dependents.delete(id);
        this.jobsWithUnknownEnd.delete(id);
      }
      const dependency = this.jobs.get(id);
      if (dependency) this.recomputeUrgency(dependency);
    }
  }

  // Urgency: priority and effective deadline

  /** Passes a job's urgency on to its dependencies, along each path until a job on it is at least as urgent already. */
  private propagateUrgency(dependency: Job, dependent: Job): void {
    const toVisit: DependencyEdge[] = [{ dependency, dependent }];
    for (let edge = toVisit.pop(); edge; edge = toVisit.pop()) {
      if (!this.inheritUrgency(edge)) continue;
      for (const next of this.liveDependencies(edge.dependency))
        toVisit.push({ dependency: next, dependent: edge.dependency });
    }
  }

  /** Raises the dependency's urgency to that of its dependent. Returns false when it was at least as urgent before. */
  private inheritUrgency({ dependency, dependent }: DependencyEdge): boolean {
    const priority = Math.min(dependency.priority, dependent.priority);
    const inherited = this.deadlineForDependencies(dependent);
    const tighter = inherited !== null && isTighter(inherited, dependency.effectiveDeadline);
    if (priority === dependency.priority && !tighter) return false;
    dependency.priority = priority;
    if (tighter) dependency.effectiveDeadline = inherited;
    return true;
  }

  /**
   * Returns the deadline that a job passes on to its dependencies: its own or
   * inherited one, less the expected duration of its tasks. Null when it has none.
   */
  private deadlineForDependencies(dependent: Job): EffectiveDeadline | null {
    const deadline = dependent.effectiveDeadline;
    if (deadline === null) return null;
    const pathS = deadline.remainingPathS + this.estimator.longestTaskS(dependent);
    return { job: deadline.job, remainingPathS: pathS };
  }

  /** Recomputes the urgency of a job, and of its dependencies, from the dependents that remain after one has ended. */
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

  /** Returns the job's pending dependencies that are live, in the order in which they were named. */
  private liveDependencies(job: Job): Job[] {
    const dependencies: Job[] = [];
    for (const id of job.pendingDependencies) {
      const dependency = this.jobs.get(id);
      if (dependency) dependencies.push(dependency);
    }
    return dependencies;
  }
}
