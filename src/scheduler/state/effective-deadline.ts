/**
 * The deadline by which a job is placed: its own, or that of a job which
 * depends on it. Users set a deadline on the last job of a pipeline only.
 */

import type { JobSpec } from '../../model/job.js';

/** A job as far as its deadline needs it. */
export interface DeadlineJob {
  readonly spec: JobSpec;
  /** Time of day of its acceptance, from which the deadline counts, in milliseconds. */
  readonly acceptedAt: number;
}

/** A deadline, and how much of the time until it is taken by the jobs in between. */
export interface EffectiveDeadline {
  /** The job that the user gave the deadline. */
  readonly job: DeadlineJob;
  /** Seconds that are expected to pass between the end of the job that inherits the deadline and the end of `job`. */
  readonly remainingPathS: number;
}

/** The deadline that the job's own user set; null: none. */
export function ownDeadline(job: DeadlineJob): EffectiveDeadline | null {
  return job.spec.deadlineS === null ? null : { job, remainingPathS: 0 };
}

/** Time of day in milliseconds by which a job with this deadline has to be done. */
export function latestEndAt({ job, remainingPathS }: EffectiveDeadline): number {
  const deadlineS = job.spec.deadlineS ?? Number.POSITIVE_INFINITY;
  return job.acceptedAt + (deadlineS - remainingPathS) * 1000;
}

/** Whether the deadline leaves less time than the other, which may be none. */
export function isTighter(deadline: EffectiveDeadline, other: EffectiveDeadline | null): boolean {
  return other === null || latestEndAt(deadline) < latestEndAt(other);
}

/** Whether both are the same job's deadline with the same path to it, or both are none. */
export function isSameDeadline(
  one: EffectiveDeadline | null,
  other: EffectiveDeadline | null,
): boolean {
  if (one === null || other === null) return one === other;
  return one.job === other.job && one.remainingPathS === other.remainingPathS;
}
