/**
 * How long work is expected to take, corrected by what was seen, and what
 * leaving it to wait would cost against the service-level objectives.
 */

import type { JobSpec } from '../../model/job.js';
import type { ClassObjectives, ServiceObjectives } from '../../model/policy.js';
import { EPSILON } from '../../model/resources.js';
import type { JobState } from './job-state.js';
import type { TaskAttempt } from './task-attempt.js';

/**
 * Look-ahead, in estimates of a task: an objective's pressure falls to 1/e
 * when the latest start is this much further away. In that time most of all
 * capacity comes free. Measured in docs/limits-history.md, "look-ahead and longest
 * task of one and a half estimates".
 */
const LOOK_AHEAD = 1.5;
/** The longest task of an array, with estimates that are off, in estimates; measured in the same row. */
const LONGEST_TASK_RATIO = 1.5;
/** Weight of a new job in the mean number of tasks of its class's jobs. */
const JOB_SIZE_LEARNING_RATE = 0.05;
/** Weight of a completed task in its class's ratio of actual to estimated duration. */
const DURATION_LEARNING_RATE = 0.05;
/** Bounds of that ratio for a single task, so that one extreme figure moves the class little. */
const MIN_DURATION_RATIO = 0.2;
const MAX_DURATION_RATIO = 5;
/** The least duration that is expected of any task, in seconds: costs are divided by it. */
const MIN_ESTIMATE_S = 0.5;
/** A task that has outrun its estimate is expected to need this part of it more. */
const OVERRUN_REMAINDER = 0.2;

/** Expected durations and the cost of waiting, with what has been learned of each class in this term. */
export class WorkEstimates {
  /** By class: actual over estimated duration of its tasks. */
  private readonly durationRatios = new Map<string, number>();
  /** By class: number of tasks of a job on average. */
  private readonly meanJobSizes = new Map<string, number>();

  constructor(private readonly objectives: ServiceObjectives) {}

  /** A job has arrived: its size corrects the mean of its class. */
  recordArrival(spec: JobSpec): void {
    const mean = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    this.meanJobSizes.set(spec.jobClass, mean + (spec.tasks - mean) * JOB_SIZE_LEARNING_RATE);
  }

  /** A task has completed: how long it ran corrects the estimates of its class. */
  recordDuration(attempt: TaskAttempt, now: number): void {
    const { spec } = attempt.job;
    if (attempt.runningSince === null || spec.estimatedDurationS <= 0) return;
    const ratio = (now - attempt.runningSince) / 1000 / spec.estimatedDurationS;
    const bounded = Math.min(MAX_DURATION_RATIO, Math.max(MIN_DURATION_RATIO, ratio));
    const mean = this.durationRatios.get(spec.jobClass) ?? 1;
    this.durationRatios.set(spec.jobClass, mean + (bounded - mean) * DURATION_LEARNING_RATE);
  }

  /** Seconds that a task of the job is expected to run: the owner's estimate, corrected by its class. */
  estimateS(spec: JobSpec): number {
    const ratio = this.durationRatios.get(spec.jobClass) ?? 1;
    return Math.max(MIN_ESTIMATE_S, spec.estimatedDurationS * ratio);
  }

  /** Seconds that the longest task of the job is expected to run. */
  longestTaskS(job: JobState): number {
    return this.estimateS(job.spec) * LONGEST_TASK_RATIO;
  }

  /** Seconds that the attempt is expected to run on. */
  remainingS(attempt: TaskAttempt, now: number): number {
    const estimateS = this.estimateS(attempt.job.spec);
    if (attempt.runningSince === null) return estimateS;
    const ranS = (now - attempt.runningSince) / 1000;
    return Math.max(estimateS - ranS, estimateS * OVERRUN_REMAINDER);
  }

  /** The shortest wait that the class's objectives allow, in seconds; null when none of them is about waiting. */
  startObjectiveS(jobClass: string): number | null {
    const limits = this.objectives.classes.get(jobClass)?.startWithinS ?? [];
    return limits.length > 0 ? Math.min(...limits) : null;
  }

  /**
   * What leaving the job to wait is about to cost, for each CPU second that
   * its ready tasks need: objectives missed per CPU second.
   *
   *     cost = (J + S * ready / meanJobSize) / (ready * cpus * estimateS)
   *
   * J is the pressure of the objectives on the whole job, S that of the
   * objectives on the start of its tasks, which count tasks and not jobs. The
   * pressure of an objective is exp(-slackS / (LOOK_AHEAD * estimateS)): 1 at
   * the latest start for it, less the further away that is, and 0 once it
   * can't be met any more, so that work which is late anyway goes last.
   */
  waitingCost(job: JobState, wallNow: number): number {
    const { spec, readyCount } = job;
    const objectives = this.objectives.classes.get(spec.jobClass);
    if (!objectives && !job.effectiveDeadline) return 0;
    const estimateS = this.estimateS(spec);
    const jobs = this.jobPressure(job, objectives, estimateS, wallNow);
    const starts = startPressure(job, objectives, estimateS, wallNow);
    const meanJobSize = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    const cpuSeconds = Math.max(EPSILON, readyCount * spec.cpus * estimateS);
    return (jobs + (starts * readyCount) / meanJobSize) / cpuSeconds;
  }

  /** Pressure of the objectives on the end of the job, and on that of the job whose deadline it inherits. */
  private jobPressure(
    job: JobState,
    objectives: ClassObjectives | undefined,
    estimateS: number,
    wallNow: number,
  ): number {
    const ageS = waitingS(job, wallNow);
    const longestS = estimateS * LONGEST_TASK_RATIO;
    let sum = 0;
    for (const limitS of objectives?.finishWithinS ?? [])
      sum += pressure(limitS - longestS - ageS, estimateS);
    for (const leftS of this.deadlinesLeftS(job, wallNow))
      sum += pressure(leftS - longestS, estimateS);
    return sum;
  }

  /**
   * Seconds until the job has to be done, for each objective on deadlines of
   * the job whose deadline it has, its own or one that depends on it. Deadlines
   * count from that job's submission, however long it waits for others.
   */
  private deadlinesLeftS(job: JobState, wallNow: number): number[] {
    if (!job.effectiveDeadline) return [];
    const { job: owner, remainingPathS } = job.effectiveDeadline;
    const deadlineS = owner.spec.deadlineS ?? Number.POSITIVE_INFINITY;
    const ageS = (wallNow - owner.acceptedAt) / 1000;
    const multiples = this.objectives.classes.get(owner.spec.jobClass)?.deadlineMultiples ?? [];
    return multiples.map((multiple) => deadlineS * multiple - remainingPathS - ageS);
  }
}

/** Pressure of the objectives on the start of the job's tasks. */
function startPressure(
  job: JobState,
  objectives: ClassObjectives | undefined,
  estimateS: number,
  wallNow: number,
): number {
  const ageS = waitingS(job, wallNow);
  let sum = 0;
  for (const limitS of objectives?.startWithinS ?? []) sum += pressure(limitS - ageS, estimateS);
  return sum;
}

/** Seconds since the job could have started. */
function waitingS(job: JobState, wallNow: number): number {
  return (wallNow - job.eligibleAt) / 1000;
}

/** Pressure of one objective, from 0 to 1; `slackS` are the seconds until the latest start that meets it. */
function pressure(slackS: number, estimateS: number): number {
  return slackS >= 0 ? Math.exp(-slackS / (estimateS * LOOK_AHEAD)) : 0;
}
