/**
 * The deadline that placement uses for a job: its own, or that of a job which
 * depends on it. Users set a deadline only on the last job of a pipeline.
 */

import type { JobSpec } from '../../model/job.js';

/** The fields of a job that determine its deadline. */
export interface DeadlineJob {
  readonly spec: JobSpec;
  /** Wall-clock time in milliseconds at which it was accepted. The deadline counts from then. */
  readonly acceptedAt: number;
}

/** A deadline, and how much of the time until then the jobs in between are expected to take. */
export interface EffectiveDeadline {
  /** The job for which the user set the deadline. */
  readonly job: DeadlineJob;
  /** Expected seconds between the end of the job that inherits the deadline and the end of `job`. */
  readonly remainingPathS: number;
}

/** Returns the deadline that the user set for the job itself, or null when there is none. */
export function ownDeadline(job: DeadlineJob): EffectiveDeadline | null {
  return job.spec.deadlineS === null ? null : { job, remainingPathS: 0 };
}

/** Returns the wall-clock time in milliseconds by which a job with this deadline has to be done. */
export function latestEndAt({ job, remainingPathS }: EffectiveDeadline): number {
  const deadlineS = job.spec.deadlineS ?? Number.POSITIVE_INFINITY;
  return job.acceptedAt + (deadlineS - remainingPathS) * 1000;
}

/** Reports whether the deadline leaves less time than the other; null means no deadline. */
export function isTighter(deadline: EffectiveDeadline, other: EffectiveDeadline | null): boolean {
  return other === null || latestEndAt(deadline) < latestEndAt(other);
}

/** Reports whether both are the deadline of the same job with the same remaining path, or both are null. */
export function isSameDeadline(
  one: EffectiveDeadline | null,
  other: EffectiveDeadline | null,
): boolean {
  if (one === null || other === null) return one === other;
  return one.job === other.job && one.remainingPathS === other.remainingPathS;
}
