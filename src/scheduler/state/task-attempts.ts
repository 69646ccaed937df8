/** Creation and end of task attempts, with the accounting that depends on them. */
import type { TaskStatus } from '../../model/heartbeat.js';
import { isStartUnsent } from '../reconcile/task-commands.js';
import type { QuotaUsage } from './quota-usage.js';
import type { RoundTrigger } from './round-trigger.js';
import { attemptKey, type Job, type Machine, type TaskAttempt } from './task-attempt.js';

/** Attempt numbers increase across leaders, since the leader term is their high part. */
const ATTEMPTS_PER_TERM = 2 ** 28;

/**
 * The only place that binds task attempts to machines and releases them, so
 * that the machine, the job and the team's quota stay consistent.
 */
export class TaskAttempts {
  /** Machines with unsent commands. A direct command carries them unless the response to a heartbeat does so first. */
  readonly pendingCommands = new Set<Machine>();
  private attemptCount = 0;

  constructor(
    private readonly term: number,
    private readonly quota: QuotaUsage,
    private readonly roundTrigger: RoundTrigger,
  ) {}

  /** Assigns a ready task to a machine. The start is sent with the response to its next heartbeat or with a direct command. */
  assign(job: Job, index: number, machine: Machine, now: number): TaskAttempt {
    const attemptNumber = this.term * ATTEMPTS_PER_TERM + ++this.attemptCount;
    const attempt = createAttempt(job, index, attemptNumber, machine, now);
    this.bind(attempt);
    machine.recordImageUse(job.spec);
    job.addAttempt(attempt);
    this.pendingCommands.add(machine);
    return attempt;
  }

  /**
   * Adds an attempt that a machine lists and that is not known here, because an
   * earlier leader started it or it was presumed lost. It is stopped when its
   * task is done or has another attempt that may be running.
   */
  adopt(job: Job, task: TaskStatus, machine: Machine, now: number): TaskAttempt {
    const attempt = createAttempt(job, task.index, task.attempt, machine, now);
    // For an exited task, the caller records the exit next, which releases the resources again.
    this.bind(attempt);
    if (task.state === 'exited') return attempt;
    const activeAttempt = job.activeAttempts.get(task.index);
    if (activeAttempt && isStartUnsent(activeAttempt)) this.release(activeAttempt, 0);
    if (job.isDone(task.index) || job.activeAttempts.has(task.index)) this.stop(attempt, 0);
    else job.addAttempt(attempt);
    return attempt;
  }

  /** Stops the task within `graceS` seconds. The command is repeated until the machine lists the exit. */
  stop(attempt: TaskAttempt, graceS: number): void {
    attempt.stopRequest = { graceS, commandSent: false };
    this.pendingCommands.add(attempt.machine);
  }

  /** Stops every attempt of a job that has ended. Those whose start was never sent are released at once. */
  stopAll(job: Job): void {
    for (const attempt of [...job.activeAttempts.values()]) {
      if (isStartUnsent(attempt)) this.release(attempt, 0);
      else this.stop(attempt, 0);
    }
  }

  /** Releases an attempt that ended without a result. Its task is ready again, immediately (0) or at `readyAt`. */
  release(attempt: TaskAttempt, readyAt: number): void {
    // The reply to a command may arrive after a new agent epoch or the machine's termination has
    // released the attempt. A second credit would let the team exceed its limit.
    const { job, machine } = attempt;
    const listed = machine.attempts.get(attemptKey(job.spec.id, attempt.index, attempt.attempt));
    if (listed !== attempt) return;
    if (attempt.state !== 'exited') this.quota.credit(job.spec);
    machine.removeAttempt(attempt);
    job.removeAttempt(attempt, readyAt);
    if (!machine.busy) machine.idleSince = Math.max(machine.idleSince, attempt.assignedAt);
    this.roundTrigger.request();
  }

  /** Releases all attempts of a machine on which nothing runs anymore. Returns how many had not exited. */
  releaseAll(machine: Machine): number {
    let lostTasks = 0;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.state !== 'exited') lostTasks++;
      this.release(attempt, 0);
    }
    return lostTasks;
  }

  /** Releases the machine's attempts whose start was never sent, so that they can be placed elsewhere. */
  releaseUnsent(machine: Machine): void {
    for (const attempt of [...machine.attempts.values()])
      if (isStartUnsent(attempt)) this.release(attempt, 0);
  }

  /** Records that the machine lists the attempt as exited. It no longer uses resources, but stays until it may be forgotten. */
  recordExit(attempt: TaskAttempt, now: number): void {
    const { job, machine } = attempt;
    this.quota.credit(job.spec);
    machine.markExited(attempt);
    attempt.mayBeForgotten = true;
    this.roundTrigger.request();
    if (!machine.busy) machine.idleSince = now;
  }

  /** Applies a machine's reply to a direct command. `sequence` is the number of the heartbeat in the reply. */
  applyCommandResult(
    startedAttempts: readonly TaskAttempt[],
    executed: boolean,
    sequence: number,
  ): void {
    for (const attempt of startedAttempts) {
      // A duplicate of an executed command may still arrive until the fence has been raised.
      if (executed) attempt.startSentSequence = Math.max(attempt.startSentSequence ?? 0, sequence);
      else {
        // The command was refused for its fencing token or agent epoch. Duplicates will be refused too.
        attempt.directCommandFence = null;
        if (isStartUnsent(attempt)) this.release(attempt, 0);
      }
    }
  }

  private bind(attempt: TaskAttempt): void {
    this.quota.charge(attempt.job.spec);
    attempt.machine.addAttempt(attempt);
  }
}

function createAttempt(
  job: Job,
  index: number,
  attempt: number,
  machine: Machine,
  now: number,
): TaskAttempt {
  return {
    job,
    index,
    attempt,
    machine,
    state: 'assigned',
    startSentSequence: null,
    directCommandFence: null,
    assignedAt: now,
    runningSince: null,
    stopRequest: null,
    exemptFromPreemption: false,
    mayBeForgotten: false,
  };
}
