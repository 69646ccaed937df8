import { EPSILON, type JobSpec } from '../../model/model.js';
import type { Aims } from '../../model/policy.js';
import type { Job } from './job.js';
import type { Binding } from './machine.js';

/** How near its latest start makes work pressing, in lengths of its tasks: in that time most of all room comes free. */
const LOOK_AHEAD = 1.5;
/** The longest task of an array, and the owner's estimate being off, in estimates. */
const LONGEST = 1.5;
/** What an arrival adds to the mean size of its class's jobs. */
const SIZE_RATE = 0.05;

/**
 * How long work is expected to take, corrected by what was seen, and what
 * leaving it to wait would cost against the aims of its class.
 */
export class WorkEstimates {
  /** How far owners' estimates are off, by class: actual over estimated. */
  private readonly ratios = new Map<string, number>();
  /** Tasks of a job on average, by class. */
  private readonly sizes = new Map<string, number>();

  constructor(private readonly aims: Aims) {}

  /** A job has arrived. */
  arrived(spec: JobSpec): void {
    const size = this.sizes.get(spec.jobClass) ?? spec.tasks;
    this.sizes.set(spec.jobClass, size + (spec.tasks - size) * SIZE_RATE);
  }

  /** Seconds that the longest task of the job is expected to take. */
  longestS(job: Job): number {
    return this.estimateS(job.spec) * LONGEST;
  }

  /** The shortest wait that the class's aims allow; null when none of them is about waiting. */
  waitAimS(jobClass: string): number | null {
    const waits = this.aims.classes.get(jobClass)?.waits ?? [];
    return waits.length > 0 ? Math.min(...waits) : null;
  }

  /**
   * What leaving the job to wait is about to cost, for each CPU second that it
   * needs. Each of its class's aims that it can still meet counts, and the
   * more the nearer the latest start for it; what it can't meet any more
   * costs nothing. Aims on waiting count tasks, the others whole jobs.
   */
  waitingCost(job: Job, wallNow: number): number {
    const { spec, ready } = job;
    const aims = this.aims.classes.get(spec.jobClass);
    if (!aims && !job.goal) return 0;
    const age = (wallNow - job.eligibleAt) / 1000;
    const estimate = this.estimateS(spec);
    const longest = estimate * LONGEST;
    const near = (leftS: number) => (leftS >= 0 ? Math.exp(-leftS / (estimate * LOOK_AHEAD)) : 0);
    let whole = 0;
    for (const s of aims?.finishes ?? []) whole += near(s - longest - age);
    for (const leftS of this.deadlinesLeftS(job, wallNow)) whole += near(leftS - longest);
    let tasks = 0;
    for (const s of aims?.waits ?? []) tasks += near(s - age);
    const usual = this.sizes.get(spec.jobClass) ?? spec.tasks;
    return (whole + (tasks * ready) / usual) / Math.max(EPSILON, ready * spec.cpus * estimate);
  }

  /**
   * Seconds until the job has to be done for each aim on deadlines of the job
   * that it serves, its own or the last of its pipeline. Deadlines count from
   * that job's submission, however long it waits for others.
   */
  private deadlinesLeftS(job: Job, wallNow: number): number[] {
    if (!job.goal) return [];
    const { job: last, restS } = job.goal;
    const deadlineS = last.spec.deadlineS ?? Number.POSITIVE_INFINITY;
    const age = (wallNow - last.acceptedAt) / 1000;
    const aims = this.aims.classes.get(last.spec.jobClass);
    return (aims?.deadlines ?? []).map((times) => deadlineS * times - restS - age);
  }

  estimateS(spec: JobSpec): number {
    return Math.max(0.5, spec.estimateS * (this.ratios.get(spec.jobClass) ?? 1));
  }

  remainingS(b: Binding, now: number): number {
    const estimate = this.estimateS(b.job.spec);
    if (b.runningSince === null) return estimate;
    // A task that has outrun its estimate is expected to need a part of it more.
    return Math.max(estimate - (now - b.runningSince) / 1000, estimate * 0.2);
  }

  /** A task has completed: how long it ran corrects the estimates of its class. */
  learn(b: Binding, now: number): void {
    const spec = b.job.spec;
    if (b.runningSince === null || spec.estimateS <= 0) return;
    const seen = Math.min(5, Math.max(0.2, (now - b.runningSince) / 1000 / spec.estimateS));
    const old = this.ratios.get(spec.jobClass) ?? 1;
    this.ratios.set(spec.jobClass, old + (seen - old) * 0.05);
  }
}
