/**
 * Expected task durations, corrected by observed ones, and the cost of letting
 * work wait, in missed service-level objectives.
 */

import type { JobSpec } from '../../model/job.js';
import type { ClassObjectives, ServiceObjectives } from '../../model/policy.js';
import { EPSILON } from '../../model/resources.js';
import type { JobState } from './job-state.js';
import type { TaskAttempt } from './task-attempt.js';

/**
 * Look-ahead in task estimates. The pressure of an objective falls to 1/e when
 * its latest start is this much further away, since most of the capacity
 * becomes free within that time.
 */
const LOOK_AHEAD_ESTIMATES = 1.5;
/** Expected duration of an array's longest task, in task estimates. It allows for estimates that are too low. */
const LONGEST_TASK_RATIO = 1.5;
/** Weight of a new job in the mean number of tasks per job of its class. */
const JOB_SIZE_LEARNING_RATE = 0.05;
/** Weight of a finished task in its class's ratio of actual to estimated duration. */
const DURATION_LEARNING_RATE = 0.05;
/** Bounds of that ratio for a single task, so that an outlier has little effect on the class. */
const MIN_DURATION_RATIO = 0.2;
const MAX_DURATION_RATIO = 5;
/** Lower bound of expected task durations in seconds, since costs are divided by the duration. */
const MIN_ESTIMATE_S = 0.5;
/** The remaining duration of a task is expected to be at least this share of its estimate, even after an overrun. */
const MIN_REMAINING_SHARE = 0.2;

/** Expected durations and the cost of waiting, with corrections that are learned for each class during the term. */
export class WorkEstimates {
  /** Mean ratio of actual to estimated task duration, by class. */
  private readonly durationRatios = new Map<string, number>();
  /** Mean number of tasks per job, by class. */
  private readonly meanJobSizes = new Map<string, number>();

  constructor(private readonly objectives: ServiceObjectives) {}

  /** Updates the mean job size of the class with the size of a new job. */
  recordArrival(spec: JobSpec): void {
    const mean = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    this.meanJobSizes.set(spec.jobClass, mean + (spec.tasks - mean) * JOB_SIZE_LEARNING_RATE);
  }

  /** Updates the duration ratio of the class with the duration of a finished task. */
  recordDuration(attempt: TaskAttempt, now: number): void {
    const { spec } = attempt.job;
    if (attempt.runningSince === null || spec.estimatedDurationS <= 0) return;
    const ratio = (now - attempt.runningSince) / 1000 / spec.estimatedDurationS;
    const bounded = Math.min(MAX_DURATION_RATIO, Math.max(MIN_DURATION_RATIO, ratio));
    const mean = this.durationRatios.get(spec.jobClass) ?? 1;
    this.durationRatios.set(spec.jobClass, mean + (bounded - mean) * DURATION_LEARNING_RATE);
  }

  /** Returns the expected duration of a task of the job in seconds: the user's estimate, corrected by its class. */
  estimateS(spec: JobSpec): number {
    const ratio = this.durationRatios.get(spec.jobClass) ?? 1;
    return Math.max(MIN_ESTIMATE_S, spec.estimatedDurationS * ratio);
  }

  /** Returns the expected duration of the job's longest task, in seconds. */
  longestTaskS(job: JobState): number {
    return this.estimateS(job.spec) * LONGEST_TASK_RATIO;
  }

  /** Returns the expected remaining duration of the attempt, in seconds. */
  remainingS(attempt: TaskAttempt, now: number): number {
    const estimateS = this.estimateS(attempt.job.spec);
    if (attempt.runningSince === null) return estimateS;
    const ranS = (now - attempt.runningSince) / 1000;
    return Math.max(estimateS - ranS, estimateS * MIN_REMAINING_SHARE);
  }

  /** Returns the shortest waiting time that the class's objectives allow, in seconds; null when none of them limits it. */
  startObjectiveS(jobClass: string): number | null {
    const limits = this.objectives.classes.get(jobClass)?.startWithinS ?? [];
    return limits.length > 0 ? Math.min(...limits) : null;
  }

  /**
   * Returns the expected cost of letting the job wait: objectives missed per CPU
   * second that its ready tasks need.
   *
   *     cost = (J + S * ready / meanJobSize) / (ready * cpus * estimateS)
   *
   * J is the pressure of the objectives on the whole job. S is the pressure of
   * those on the start of its tasks, which count tasks instead of jobs. The
   * pressure of an objective is exp(-slackS / (LOOK_AHEAD_ESTIMATES * estimateS)).
   *
   * It is 1 at the latest start that meets the objective and lower before that.
   * It is 0 once the objective can't be met, so that work which is late in any
   * case goes last.
   */
  waitingCost(job: JobState, wallNow: number): number {
    const { spec, readyCount } = job;
    const objectives = this.objectives.classes.get(spec.jobClass);
    if (!objectives && !job.effectiveDeadline) return 0;
    const estimateS = this.estimateS(spec);
    const pressureOnJob = this.jobPressure(job, objectives, estimateS, wallNow);
    const pressureOnStarts = startPressure(job, objectives, estimateS, wallNow);
    const meanJobSize = this.meanJobSizes.get(spec.jobClass) ?? spec.tasks;
    const cpuSeconds = Math.max(EPSILON, readyCount * spec.cpus * estimateS);
    return (pressureOnJob + (pressureOnStarts * readyCount) / meanJobSize) / cpuSeconds;
  }

  /** Returns the pressure of the objectives on the end of the job, and on that of the job whose deadline it inherits. */
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
   * Returns the seconds until the job has to be done, for each deadline objective
   * of the job that its deadline belongs to: itself or one that depends on it.
   * Deadlines count from that job's submission, however long it waits for others.
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

/** Returns the pressure of the objectives on the start of the job's tasks. */
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

/** Returns the seconds since the job could first have started. */
function waitingS(job: JobState, wallNow: number): number {
  return (wallNow - job.eligibleAt) / 1000;
}

/** Returns the pressure of one objective, from 0 to 1. `slackS` is the time until the latest start that meets it, in seconds. */
function pressure(slackS: number, estimateS: number): number {
  return slackS >= 0 ? Math.exp(-slackS / (estimateS * LOOK_AHEAD_ESTIMATES)) : 0;
}
