import type { Job } from './job.js';

/** How a job ended, as its durable record says. */
export interface JobEnd {
  state: 'done' | 'cancelled';
  /** Time of day of the end; null: its record is from a version that did not keep it. */
  at: number | null;
}

/** Ends that are remembered, so that a job which names one of them need not look it up. */
const ENDS_REMEMBERED = 2000;

/** What the graph needs to know of the work to tell how long a path takes. */
export interface RunLength {
  /** Seconds that the longest task of the job is expected to take. */
  longestS(job: Job): number;
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
export class JobGraph {
  /** Live jobs that need the one of this id, whether that is live or has ended. */
  private readonly downstream = new Map<string, Set<Job>>();
  private readonly ends = new Map<string, JobEnd>();
  /** Jobs that others need and that are no longer live: how they ended has to be read. */
  readonly unresolved = new Set<string>();
  /** Jobs with upstream ids in further records, which have to be read. */
  readonly unread = new Set<Job>();

  constructor(
    /** The live jobs. */
    private readonly jobs: ReadonlyMap<string, Job>,
    private readonly runLength: RunLength,
  ) {}

  /** Adds what a live job needs. */
  link(job: Job, upstream: readonly string[]): void {
    for (const id of upstream) {
      const end = this.ends.get(id);
      if (end?.state === 'done') {
        job.upstreamDone(id, end.at);
        continue;
      }
      if (end?.state === 'cancelled') job.upstreamCancelled = true;
      job.waitsFor.add(id);
      const others = this.downstream.get(id);
      if (others) others.add(job);
      else this.downstream.set(id, new Set([job]));
      const needed = this.jobs.get(id);
      if (needed?.upstreamCancelled) job.upstreamCancelled = true;
      if (needed) this.offer(needed, job);
      else if (!end) this.unresolved.add(id);
    }
    if (job.upstreamCancelled) this.cancelDownstream(job.spec.id);
  }

  /** What the job needs has to be read first. */
  postpone(job: Job): void {
    job.upstreamUnread = true;
    this.unread.add(job);
  }

  linkUnread(job: Job, upstream: readonly string[]): void {
    job.upstreamUnread = false;
    this.unread.delete(job);
    this.link(job, upstream);
  }

  /** The job is not live any more; null: it is not known how it ended. */
  ended(id: string, end: JobEnd | null): void {
    const job = this.jobs.get(id);
    if (job) this.unlink(job);
    if (end) this.remember(id, end);
    const known = end ?? this.ends.get(id) ?? null;
    if (!known) {
      if (this.downstream.has(id)) this.unresolved.add(id);
      return;
    }
    this.unresolved.delete(id);
    if (known.state === 'cancelled') this.cancelDownstream(id);
    else this.release(id, known.at);
  }

  /** Whether others wait for the job: its end should not be late. */
  isNeeded(id: string): boolean {
    return this.downstream.has(id);
  }

  /** All that the job waits for is running: it will be ready within the length of a task. */
  isNext(job: Job): boolean {
    if (job.upstreamCancelled || job.upstreamUnread || job.waitsFor.size === 0) return false;
    for (const id of job.waitsFor) {
      const needed = this.jobs.get(id);
      if (!needed || needed.isWaiting || needed.ready > 0 || needed.delayed > 0) return false;
    }
    return true;
  }

  private remember(id: string, end: JobEnd): void {
    this.ends.set(id, end);
    if (this.ends.size <= ENDS_REMEMBERED) return;
    const oldest = this.ends.keys().next().value;
    if (oldest !== undefined) this.ends.delete(oldest);
  }

  private release(id: string, at: number | null): void {
    const waiting = this.downstream.get(id);
    if (!waiting) return;
    this.downstream.delete(id);
    for (const job of waiting) job.upstreamDone(id, at);
  }

  /** Marks all jobs that need this one; each is marked once, however many paths lead to it. */
  private cancelDownstream(id: string): void {
    const ids = [id];
    for (let next = ids.pop(); next !== undefined; next = ids.pop())
      for (const job of this.downstream.get(next) ?? []) {
        if (job.upstreamCancelled) continue;
        job.upstreamCancelled = true;
        ids.push(job.spec.id);
      }
  }

  /** The job has ended itself, so nothing of it has to be in time any more. */
  private unlink(job: Job): void {
    this.unread.delete(job);
    for (const id of job.waitsFor) {
      const others = this.downstream.get(id);
      if (!others?.delete(job)) continue;
      if (others.size === 0) {
        this.downstream.delete(id);
        this.unresolved.delete(id);
      }
      const needed = this.jobs.get(id);
      if (needed) this.reconsider(needed);
    }
  }

  // Priority and goal

  /** A job needs this one: rank and goal go upstream as far as they change anything. */
  private offer(needed: Job, by: Job): void {
    const offers: { needed: Job; by: Job }[] = [{ needed, by }];
    for (let next = offers.pop(); next; next = offers.pop()) {
      if (!this.improve(next.needed, next.by)) continue;
      for (const id of next.needed.waitsFor) {
        const job = this.jobs.get(id);
        if (job) offers.push({ needed: job, by: next.needed });
      }
    }
  }

  private improve(needed: Job, by: Job): boolean {
    const rank = Math.min(needed.rank, by.rank);
    const goal = by.goal && {
      job: by.goal.job,
      restS: by.goal.restS + this.runLength.longestS(by),
    };
    const tighter =
      goal !== null && (needed.goal === null || latestEnd(goal) < latestEnd(needed.goal));
    if (rank === needed.rank && !tighter) return false;
    needed.rank = rank;
    if (tighter) needed.goal = goal;
    return true;
  }

  /** A job downstream has gone: rank and goal are taken anew from those that are left. */
  private reconsider(job: Job): void {
    const jobs = [job];
    for (let next = jobs.pop(); next; next = jobs.pop()) {
      const { rank, goal } = next;
      next.resetPriority();
      for (const by of this.downstream.get(next.spec.id) ?? []) this.improve(next, by);
      if (next.rank === rank && sameGoal(next.goal, goal)) continue;
      for (const id of next.waitsFor) {
        const needed = this.jobs.get(id);
        if (needed) jobs.push(needed);
      }
    }
  }
}

/** A job with a deadline that another job serves. */
export interface Goal {
  job: Job;
  /** Seconds that are expected to pass between the end of the job that serves it and its own. */
  restS: number;
}

/** Time of day in milliseconds by which the job that serves the goal has to be done. */
function latestEnd(goal: Goal): number {
  const { job, restS } = goal;
  return job.acceptedAt + ((job.spec.deadlineS ?? Number.POSITIVE_INFINITY) - restS) * 1000;
}

function sameGoal(a: Goal | null, b: Goal | null): boolean {
  return a === b || (a !== null && b !== null && a.job === b.job && a.restS === b.restS);
}
