import type { JobEnd } from '../../model/job.js';
import type { Job } from './job.js';

/** Ends that are remembered, so that a job which names one of them need not look it up. */
const MAX_REMEMBERED_ENDS = 2000;

/** What the graph needs to know of the work to tell how long a path takes. */
export interface DurationEstimator {
  /** Seconds that the longest task of the job is expected to take. */
  longestTaskS(job: Job): number;
}

/**
 * Which live jobs need which others. A job waits until every job upstream of
 * it is durably done; when one of these is cancelled, so are all jobs
 * downstream, directly or through others. There are no cycles, since a job
 * names only jobs that were accepted before it.
 *
 * Users set priority and deadline on the last job of a pipeline only, so both
 * are handed upstream: a job has the highest rank of itself and all jobs
 * downstream, and the goal whose deadline leaves it the least time.
 */
export class DependencyGraph {
  /** Live jobs that need the one of this id, whether that is live or has ended. */
  private readonly dependents = new Map<string, Set<Job>>();
  private readonly knownEnds = new Map<string, JobEnd>();
  /** Jobs that others need and that are no longer live: how they ended has to be read. */
  readonly unresolvedEnds = new Set<string>();
  /** Jobs with upstream ids in further records, which have to be read. */
  readonly unreadLists = new Set<Job>();

  constructor(
    /** The live jobs. */
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly durations: DurationEstimator,
  ) {}

  /** Adds what a live job needs. */
  addDependencies(job: Job, upstream: readonly string[]): void {
    for (const id of upstream) {
      const end = this.knownEnds.get(id);
      if (end?.state === 'done') {
        job.dependencyDone(id, end.at);
        continue;
      }
      if (end?.state === 'cancelled') job.dependencyCancelled = true;
      job.pendingDependencies.add(id);
      const others = this.dependents.get(id);
      if (others) others.add(job);
      else this.dependents.set(id, new Set([job]));
      const needed = this.jobs.get(id);
      if (needed?.dependencyCancelled) job.dependencyCancelled = true;
      if (needed) this.propagateUrgency(needed, job);
      else if (!end) this.unresolvedEnds.add(id);
    }
    if (job.dependencyCancelled) this.cancelDependents(job.spec.id);
  }

  /** What the job needs has to be read first. */
  deferDependencies(job: Job): void {
    job.dependenciesUnread = true;
    this.unreadLists.add(job);
  }

  addReadDependencies(job: Job, upstream: readonly string[]): void {
    job.dependenciesUnread = false;
    this.unreadLists.delete(job);
    this.addDependencies(job, upstream);
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

  /** Whether others wait for the job: its end should not be late. */
  hasDependents(id: string): boolean {
    return this.dependents.has(id);
  }

  /** All that the job waits for is running: it will be ready within the length of a task. */
  isAboutToBeReady(job: Job): boolean {
    if (job.dependencyCancelled || job.dependenciesUnread || job.pendingDependencies.size === 0)
      return false;
    for (const id of job.pendingDependencies) {
      const needed = this.jobs.get(id);
      if (
        !needed ||
        needed.awaitsDependencies ||
        needed.readyCount > 0 ||
        needed.backedOffCount > 0
      )
        return false;
    }
    return true;
  }

  private rememberEnd(id: string, end: JobEnd): void {
    this.knownEnds.set(id, end);
    if (this.knownEnds.size <= MAX_REMEMBERED_ENDS) return;
    const oldest = this.knownEnds.keys().next().value;
    if (oldest !== undefined) this.knownEnds.delete(oldest);
  }

  private releaseDependents(id: string, at: number | null): void {
    const waiting = this.dependents.get(id);
    if (!waiting) return;
    this.dependents.delete(id);
    for (const job of waiting) job.dependencyDone(id, at);
  }

  /** Marks all jobs that need this one; each is marked once, however many paths lead to it. */
  private cancelDependents(id: string): void {
    const ids = [id];
    for (let next = ids.pop(); next !== undefined; next = ids.pop())
      for (const job of this.dependents.get(next) ?? []) {
        if (job.dependencyCancelled) continue;
        job.dependencyCancelled = true;
        ids.push(job.spec.id);
      }
  }

  /** The job has ended itself, so nothing of it has to be in time any more. */
  private removeDependencies(job: Job): void {
    this.unreadLists.delete(job);
    for (const id of job.pendingDependencies) {
      const others = this.dependents.get(id);
      if (!others?.delete(job)) continue;
      if (others.size === 0) {
        this.dependents.delete(id);
        this.unresolvedEnds.delete(id);
      }
      const needed = this.jobs.get(id);
      if (needed) this.recomputeUrgency(needed);
    }
  }

  // Priority and goal

  /** A job needs this one: rank and goal go upstream as far as they change anything. */
  private propagateUrgency(needed: Job, by: Job): void {
    const offers: { needed: Job; by: Job }[] = [{ needed, by }];
    for (let next = offers.pop(); next; next = offers.pop()) {
      if (!this.inheritUrgency(next.needed, next.by)) continue;
      for (const id of next.needed.pendingDependencies) {
        const job = this.jobs.get(id);
        if (job) offers.push({ needed: job, by: next.needed });
      }
    }
  }

  private inheritUrgency(needed: Job, job: Job): boolean {
    const rank = Math.min(needed.priority, job.priority);
    const goal = job.effectiveDeadline && {
      job: job.effectiveDeadline.job,
      remainingPathS: job.effectiveDeadline.remainingPathS + this.durations.longestTaskS(job),
    };
    const tighter =
      goal !== null &&
      (needed.effectiveDeadline === null ||
        latestEndAt(goal) < latestEndAt(needed.effectiveDeadline));
    if (rank === needed.priority && !tighter) return false;
    needed.priority = rank;
    if (tighter) needed.effectiveDeadline = goal;
    return true;
  }

  /** A job downstream has gone: rank and goal are taken anew from those that are left. */
  private recomputeUrgency(job: Job): void {
    const jobs = [job];
    for (let next = jobs.pop(); next; next = jobs.pop()) {
      const { priority: rank, effectiveDeadline: goal } = next;
      next.resetPriority();
      for (const job of this.dependents.get(next.spec.id) ?? []) this.inheritUrgency(next, job);
      if (next.priority === rank && sameDeadline(next.effectiveDeadline, goal)) continue;
      for (const id of next.pendingDependencies) {
        const needed = this.jobs.get(id);
        if (needed) jobs.push(needed);
      }
    }
  }
}

/** A job with a deadline that another job serves. */
export interface EffectiveDeadline {
  job: Job;
  /** Seconds that are expected to pass between the end of the job that serves it and its own. */
  remainingPathS: number;
}

/** Time of day in milliseconds by which the job that serves the goal has to be done. */
function latestEndAt(goal: EffectiveDeadline): number {
  const { job, remainingPathS: restS } = goal;
  return job.acceptedAt + ((job.spec.deadlineS ?? Number.POSITIVE_INFINITY) - restS) * 1000;
}

function sameDeadline(a: EffectiveDeadline | null, b: EffectiveDeadline | null): boolean {
  return (
    a === b ||
    (a !== null && b !== null && a.job === b.job && a.remainingPathS === b.remainingPathS)
  );
}
