/**
 * Task attempts, and the job and the machine that hold them.
 *
 * An attempt refers to its job and its machine, and both list it, so the three
 * types share a module. The state of jobs and machines that does not involve
 * attempts is in job-state.ts and machine-state.ts.
 */

import type { TaskState } from '../../model/heartbeat.js';
import { JobState } from './job-state.js';
import { MachineState } from './machine-state.js';

/** A request to stop an attempt. Responses to heartbeats repeat it until the machine lists the exit. */
export interface StopRequest {
  /** Seconds that the task has to save a checkpoint; 0 ends it immediately. */
  graceS: number;
  /** Whether a direct command has carried the request. */
  commandSent: boolean;
}

/**
 * One attempt to run a task on a machine. It exists from its assignment until
 * it is proven that the task neither runs there nor can still start there.
 */
export interface TaskAttempt {
  job: Job;
  /** Index of the task in its job. */
  index: number;
  /** Number of the attempt. It increases across leaders and is never reused. */
  attempt: number;
  machine: Machine;
  /** `assigned` until the machine lists the attempt. */
  state: 'assigned' | TaskState;
  /**
   * Sequence number of the heartbeat whose response carried the start, or of the
   * heartbeat in the reply to an executed direct command. Null before that. Only a
   * later heartbeat can prove that the start was lost.
   */
  startSentSequence: number | null;
  /**
   * The machine's fence under which a direct command carried the start. Null when
   * none did, or when the command can no longer take effect: it was never sent,
   * the agent refused it, or the machine has reported a higher fence.
   *
   * Until then the command, or a duplicate of it, may still arrive. Neither the
   * absence of the attempt from a heartbeat nor its exit rules that out, and if
   * the agent forgot the attempt, the duplicate would start it again.
   */
  directCommandFence: number | null;
  /** When it was assigned, in milliseconds on the monotonic clock. */
  assignedAt: number;
  /** When a heartbeat first showed it running, in milliseconds on the monotonic clock; null before that. */
  runningSince: number | null;
  /** Null when no stop has been requested. */
  stopRequest: StopRequest | null;
  /** Whether it is never preempted, as the first task of a job that has waited for too long. */
  exemptFromPreemption: boolean;
  /** Whether the agent may forget it: the result of its exit is durable, or need not be. */
  mayBeForgotten: boolean;
}

/** Returns the key of an attempt among those of a machine. */
export function attemptKey(jobId: string, index: number, attempt: number): string {
  return `${jobId}/${index}/${attempt}`;
}

function keyOf(attempt: TaskAttempt): string {
  return attemptKey(attempt.job.spec.id, attempt.index, attempt.attempt);
}

/** A live job with the attempts of its tasks. A task has at most one active attempt. */
export class Job extends JobState {
  /** By task index, the attempt that is or may be on a machine. It stays until it is proven to have ended. */
  readonly activeAttempts = new Map<number, TaskAttempt>();
  /** Number of active attempts in each zone. */
  readonly attemptsByZone = new Map<string, number>();
  /**
   * Chunks of the bitmap with tasks that finished since the last write, each
   * with the attempts that may be forgotten once the chunk is durable.
   */
  readonly unsavedChunks = new Map<number, TaskAttempt[]>();

  /** Makes the attempt the active one of its task. */
  addAttempt(attempt: TaskAttempt): void {
    this.taskStates.markAssigned(attempt.index);
    this.activeAttempts.set(attempt.index, attempt);
    this.adjustZoneCount(attempt.machine.zone, 1);
  }

  /**
   * Removes an attempt that has ended. Unless its task is done, the task becomes
   * ready again, immediately (0) or at `readyAt` in milliseconds on the monotonic
   * clock. Does nothing when the attempt is not the active one of its task.
   */
  removeAttempt(attempt: TaskAttempt, readyAt: number): void {
    if (this.activeAttempts.get(attempt.index) !== attempt) return;
    this.activeAttempts.delete(attempt.index);
    this.adjustZoneCount(attempt.machine.zone, -1);
    this.taskStates.requeue(attempt.index, readyAt);
  }

  private adjustZoneCount(zone: string, delta: number): void {
    this.attemptsByZone.set(zone, (this.attemptsByZone.get(zone) ?? 0) + delta);
  }
}

/** A machine with the attempts on it. Those that have not exited use its resources. */
export class Machine extends MachineState {
  /** By `attemptKey`. Exited ones stay until the machine no longer lists them. */
  readonly attempts = new Map<string, TaskAttempt>();

  /** Adds an attempt that is, or may be, on the machine. */
  addAttempt(attempt: TaskAttempt): void {
    this.attempts.set(keyOf(attempt), attempt);
    if (attempt.state !== 'exited') this.chargeResources(attempt.job.spec, 1);
  }

  /** Removes an attempt that has left the machine. Does nothing when it is not listed. */
  removeAttempt(attempt: TaskAttempt): void {
    const removed = this.attempts.delete(keyOf(attempt));
    if (removed && attempt.state !== 'exited') this.chargeResources(attempt.job.spec, -1);
  }

  /** Marks the attempt as exited: it stays listed but no longer uses resources. */
  markExited(attempt: TaskAttempt): void {
    if (attempt.state === 'exited') return;
    attempt.state = 'exited';
    this.chargeResources(attempt.job.spec, -1);
  }
}
