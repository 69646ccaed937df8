import type { JobSpec } from '../../model/job.js';
import type { ServiceObjectives } from '../../model/policy.js';
import { EPSILON } from '../../model/resources.js';
import type { Job } from './job.js';
import type { TaskAttempt } from './machine.js';

/** How near its latest start makes work pressing, in lengths of its tasks: in that time most of all room comes free. */
const URGENCY_HORIZON = 1.5;
/** The longest task of an array, and the owner's estimate being off, in estimates. */
const LONGEST_TASK_RATIO = 1.5;
/** What an arrival adds to the mean size of its class's jobs. */
const JOB_SIZE_LEARNING_RATE = 0.05;

/**
 * How long work is expected to take, corrected by what was seen, and what
 * leaving it to wait would cost against the aims of its class.
 */
export class WorkEstimates {
  /** How far owners' estimates are off, by class: actual over estimated. */
  private readonly durationRatios = new Map<string, number>();
  /** Tasks of a job on average, by class. */
  private readonly meanJobSizes = new Map<string, number>();

  constructor(private readonly objectives: ServiceObjectives) {}

  /** A job has arrived. */
  recordArrival(spec: JobSpec): void {
    const size = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    this.meanJobSizes.set(spec.jobClass, size + (spec.tasks - size) * JOB_SIZE_LEARNING_RATE);
  }

  /** Seconds that the longest task of the job is expected to take. */
  longestTaskS(job: Job): number {
    return this.estimateS(job.spec) * LONGEST_TASK_RATIO;
  }

  /** The shortest wait that the class's aims allow; null when none of them is about waiting. */
  startObjectiveS(jobClass: string): number | null {
    const waits = this.objectives.classes.get(jobClass)?.startWithinS ?? [];
    return waits.length > 0 ? Math.min(...waits) : null;
  }

  /**
   * What leaving the job to wait is about to cost, for each CPU second that it
   * needs. Each of its class's aims that it can still meet counts, and the
   * more the nearer the latest start for it; what it can't meet any more
   * costs nothing. Aims on waiting count tasks, the others whole jobs.
   */
  waitingCost(job: Job, wallNow: number): number {
    const { spec, readyCount: ready } = job;
    const aims = this.objectives.classes.get(spec.jobClass);
    if (!aims && !job.effectiveDeadline) return 0;
    const age = (wallNow - job.eligibleAt) / 1000;
    const estimate = this.estimateS(spec);
    const longest = estimate * LONGEST_TASK_RATIO;
    const near = (leftS: number) =>
      leftS >= 0 ? Math.exp(-leftS / (estimate * URGENCY_HORIZON)) : 0;
    let whole = 0;
    for (const s of aims?.finishWithinS ?? []) whole += near(s - longest - age);
    for (const leftS of this.deadlinesLeftS(job, wallNow)) whole += near(leftS - longest);
    let tasks = 0;
    for (const s of aims?.startWithinS ?? []) tasks += near(s - age);
    const usual = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    return (whole + (tasks * ready) / usual) / Math.max(EPSILON, ready * spec.cpus * estimate);
  }

  /**
   * Seconds until the job has to be done for each aim on deadlines of the job
   * that it serves, its own or the last of its pipeline. Deadlines count from
   * that job's submission, however long it waits for others.
   */
  private deadlinesLeftS(job: Job, wallNow: number): number[] {
    if (!job.effectiveDeadline) return [];
    const { job: last, remainingPathS: restS } = job.effectiveDeadline;
    const deadlineS = last.spec.deadlineS ?? Number.POSITIVE_INFINITY;
    const age = (wallNow - last.acceptedAt) / 1000;
    const aims = this.objectives.classes.get(last.spec.jobClass);
    return (aims?.deadlineMultiples ?? []).map((times) => deadlineS * times - restS - age);
  }

  estimateS(spec: JobSpec): number {
    return Math.max(0.5, spec.estimatedDurationS * (this.durationRatios.get(spec.jobClass) ?? 1));
  }

  remainingS(attempt: TaskAttempt, now: number): number {
    const estimate = this.estimateS(attempt.job.spec);
    if (attempt.runningSince === null) return estimate;
    // A task that has outrun its estimate is expected to need a part of it more.
    return Math.max(estimate - (now - attempt.runningSince) / 1000, estimate * 0.2);
  }

  /** A task has completed: how long it ran corrects the estimates of its class. */
  recordDuration(attempt: TaskAttempt, now: number): void {
    const spec = attempt.job.spec;
    if (attempt.runningSince === null || spec.estimatedDurationS <= 0) return;
    const seen = Math.min(
      5,
      Math.max(0.2, (now - attempt.runningSince) / 1000 / spec.estimatedDurationS),
    );
    const old = this.durationRatios.get(spec.jobClass) ?? 1;
    this.durationRatios.set(spec.jobClass, old + (seen - old) * 0.05);
  }
}
