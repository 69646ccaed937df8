/**
 * Task attempts, and the job and the machine that hold them.
 *
 * An attempt refers to its job and its machine, and both list it: the three
 * types are one structure and stand in one module. What a job or a machine is
 * apart from its attempts is in job-state and machine-state.
 */

import type { TaskState } from '../../model/heartbeat.js';
import { JobState } from './job-state.js';
import { MachineState } from './machine-state.js';

/** A stop that has been decided. Answers to heartbeats repeat it until the exit is reported. */
export interface StopRequest {
  /** Seconds that the task is given to save a checkpoint; 0: it ends at once. */
  graceS: number;
  /** A direct command has carried it. */
  commandSent: boolean;
}

/**
 * One try to run a task on a machine. It exists from its assignment until it
 * is proven that the task does not run there and can't start there any more.
 */
export interface TaskAttempt {
  job: Job;
  /** Index of the task in its job. */
  index: number;
  /** Number of the attempt; it rises across leaders and is never used twice. */
  attempt: number;
  machine: Machine;
  /** `assigned`: the machine has not reported it yet. */
  state: 'assigned' | TaskState;
  /** Sequence number of the heartbeat whose answer carried the start; null while none did. */
  startSentSequence: number | null;
  /**
   * The machine's fence under which a direct command carried the start; null
   * when none did, or when the machine has reported a later fence. Until then
   * the command, or a copy of it, may still arrive: neither absence nor an
   * exit proves that it won't, and to forget the attempt would let the copy
   * start it again.
   */
  directCommandFence: number | null;
  /** When it was assigned, in steady milliseconds. */
  assignedAt: number;
  /** When a heartbeat first showed it running, in steady milliseconds; null before. */
  runningSince: number | null;
  /** Null: it is not to be stopped. */
  stopRequest: StopRequest | null;
  /** The first task of a job that has waited for too long: it is not preempted. */
  exemptFromPreemption: boolean;
  /** What its exit reported is durable, or need not be: the agent may forget it. */
  mayBeForgotten: boolean;
}

/** Names an attempt among those of a machine. */
export function attemptKey(jobId: string, index: number, attempt: number): string {
  return `${jobId}/${index}/${attempt}`;
}

function keyOf(attempt: TaskAttempt): string {
  return attemptKey(attempt.job.spec.id, attempt.index, attempt.attempt);
}

/** A live job with the attempts of its tasks. A task has one active attempt at most. */
export class Job extends JobState {
  /** By task, the attempt that is on a machine, or possibly on one, until it is proven to have ended. */
  readonly activeAttempts = new Map<number, TaskAttempt>();
  /** Number of active attempts in each zone. */
  readonly attemptsByZone = new Map<string, number>();
  /**
   * Chunks of the bitmap with tasks that finished since the last write, and
   * for each the attempts that may be forgotten once it is durable.
   */
  readonly unsavedChunks = new Map<number, TaskAttempt[]>();

  /** The attempt is the active one of its task. */
  addAttempt(attempt: TaskAttempt): void {
    this.taskStates.markAssigned(attempt.index);
    this.activeAttempts.set(attempt.index, attempt);
    this.countInZone(attempt.machine.zone, 1);
  }

  /**
   * The attempt has ended; unless done, its task is ready again, at once (0)
   * or from `until` on. Nothing happens when it is not the active attempt.
   */
  removeAttempt(attempt: TaskAttempt, until: number): void {
    if (this.activeAttempts.get(attempt.index) !== attempt) return;
    this.activeAttempts.delete(attempt.index);
    this.countInZone(attempt.machine.zone, -1);
    this.taskStates.requeue(attempt.index, until);
  }

  private countInZone(zone: string, change: number): void {
    this.attemptsByZone.set(zone, (this.attemptsByZone.get(zone) ?? 0) + change);
  }
}

/** A machine with the attempts on it. All that have not exited use its resources. */
export class Machine extends MachineState {
  /** By `attemptKey`; exited ones stay until the machine lists them no more. */
  readonly attempts = new Map<string, TaskAttempt>();

  /** The attempt is, or may be, on the machine. */
  addAttempt(attempt: TaskAttempt): void {
    this.attempts.set(keyOf(attempt), attempt);
    if (attempt.state !== 'exited') this.chargeResources(attempt.job.spec, 1);
  }

  /** The attempt has left the machine. Nothing happens when it was not on it. */
  removeAttempt(attempt: TaskAttempt): void {
    const removed = this.attempts.delete(keyOf(attempt));
    if (removed && attempt.state !== 'exited') this.chargeResources(attempt.job.spec, -1);
  }

  /** The task uses no resources any more; its attempt stays listed. */
  markExited(attempt: TaskAttempt): void {
    if (attempt.state === 'exited') return;
    attempt.state = 'exited';
    this.chargeResources(attempt.job.spec, -1);
  }
}
