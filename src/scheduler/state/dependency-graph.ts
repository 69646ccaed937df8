/** Dependencies between live jobs, and their effects: waiting, cancellation and inherited urgency. */

import type { JobEnd } from '../../model/job.js';
import type { Job } from './task-attempt.js';
import { type DurationEstimator, UrgencyPropagation } from './urgency-propagation.js';

/** Maximum number of job ends kept in memory. A job that depends on one of them needs no read. */
const MAX_REMEMBERED_ENDS = 2000;

/**
 * The graph of dependencies between live jobs. A job waits until all of its
 * dependencies are durably done. When one of them is cancelled, all jobs that
 * depend on it, directly or transitively, are cancelled too. There are no
 * cycles, since a job can name only jobs that were accepted before it.
 *
 * Users set priority and deadline only on the last job of a pipeline, so its
 * dependencies inherit both: a job has the highest priority among itself and
 * all its dependents, and the deadline among theirs that leaves it the least
 * time (urgency-propagation.ts).
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
  private readonly urgency: UrgencyPropagation;

  constructor(
    /** The live jobs. */
    private readonly jobs: ReadonlyMap<string, Job>,
    estimator: DurationEstimator,
  ) {
    this.urgency = new UrgencyPropagation(estimator);
  }

  /**
   * Adds a live job; its dependencies are added next. Its dependents may be known
   * already: a list of live jobs is read in pages, and a job that was accepted
   * meanwhile may be missing while a dependent on a later page is not.
   */
  addJob(job: Job): void {
    const { id } = job.spec;
    this.urgency.add(job);
    this.jobsWithUnknownEnd.delete(id);
    for (const dependent of this.dependents.get(id) ?? [])
      this.urgency.addDependency(dependent, id);
  }

  /**
   * Passes recorded changes on along the dependencies, in at most about `maxVisits`
   * visits of a job or a dependency. Returns whether all have been passed on. Until
   * then, the priority and the deadline of some jobs are outdated.
   */
  propagate(maxVisits: number): boolean {
    return this.urgency.propagate(maxVisits);
  }

  /** Number of jobs and dependencies visited so far. */
  get visits(): number {
    return this.urgency.visits;
  }

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
    if (job.pendingDependencies.has(id)) return;
    job.pendingDependencies.add(id);
    const dependents = this.dependents.get(id);
    if (dependents) dependents.add(job);
    else this.dependents.set(id, new Set([job]));
    const dependency = this.jobs.get(id);
    if (dependency?.dependencyCancelled) job.dependencyCancelled = true;
    if (dependency) this.urgency.addDependency(job, id);
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
      if (!dependents?.delete(job) || dependents.size > 0) continue;
      this.dependents.delete(id);
      this.jobsWithUnknownEnd.delete(id);
    }
    this.urgency.remove(job);
  }
}
