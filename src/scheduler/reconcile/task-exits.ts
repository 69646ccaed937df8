/** Handles task exits according to their cause. */
import type { TaskStatus } from '../../model/heartbeat.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { assertNever } from '../../runtime/assert-never.js';
import type { TaskAttempt } from '../state/task-attempt.js';
import type { TaskAttempts } from '../state/task-attempts.js';
import type { WorkEstimates } from '../state/work-estimates.js';
import type { FailureAttribution } from './failure-attribution.js';

/** Dependencies of `TaskExits`. */
export interface TaskExitsOptions {
  timing: SchedulerTiming;
  bitmaps: BitmapLayout;
  attempts: TaskAttempts;
  estimates: WorkEstimates;
  failures: FailureAttribution;
}

/**
 * Applies task exits. Invariant: the agent keeps a successful exit in its list
 * until the task is durably done, so that a failover in between loses no result.
 */
export class TaskExits {
  private readonly timing: SchedulerTiming;
  private readonly bitmaps: BitmapLayout;
  private readonly attempts: TaskAttempts;
  private readonly estimates: WorkEstimates;
  private readonly failures: FailureAttribution;

  constructor(options: TaskExitsOptions) {
    this.timing = options.timing;
    this.bitmaps = options.bitmaps;
    this.attempts = options.attempts;
    this.estimates = options.estimates;
    this.failures = options.failures;
  }

  /** Applies the exit of an attempt that the machine lists as exited for the first time. */
  apply(attempt: TaskAttempt, { cause }: TaskStatus, now: number): void {
    const { job, machine } = attempt;
    this.attempts.recordExit(attempt, now);
    switch (cause) {
      case 'done':
        this.recordSuccess(attempt, now);
        return;
      case 'error':
        this.failures.record(attempt, now);
        return;
      case 'no_room':
        machine.admissionBackoffUntil = now + this.timing.heartbeatMs;
        job.removeAttempt(attempt, 0);
        return;
      case 'unknown':
        job.removeAttempt(attempt, now + this.timing.heartbeatMs);
        return;
      case 'stopped':
      case 'busy':
      case null:
        job.removeAttempt(attempt, 0);
        return;
      default:
        assertNever(cause);
    }
  }

  private recordSuccess(attempt: TaskAttempt, now: number): void {
    const { job, machine } = attempt;
    this.estimates.recordDuration(attempt, now);
    job.failedMachines.clear();
    job.failures = 0;
    job.succeeded = true;
    machine.failedJobs.clear();
    const otherAttempt = job.activeAttempts.get(attempt.index);
    const firstSuccess = job.markDone(attempt.index);
    job.removeAttempt(attempt, 0);
    if (otherAttempt && otherAttempt !== attempt) this.attempts.stop(otherAttempt, 0);
    if (firstSuccess && !job.ended) this.awaitDurability(attempt);
  }

  /** Keeps the agent from forgetting the attempt until the bit of its task is written. */
  private awaitDurability(attempt: TaskAttempt): void {
    const { job } = attempt;
    attempt.mayBeForgotten = false;
    const chunk = this.bitmaps.chunkOf(attempt.index);
    const unsavedAttempts = job.unsavedChunks.get(chunk);
    if (unsavedAttempts) unsavedAttempts.push(attempt);
    else job.unsavedChunks.set(chunk, [attempt]);
  }
}
