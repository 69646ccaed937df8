/** Creation and end of task attempts, with all that is counted by them. */
import type { TaskStatus } from '../../model/heartbeat.js';
import { isUnsent } from '../reconcile/task-commands.js';
import type { QuotaUsage } from './quota-usage.js';
import type { RoundTrigger } from './round-trigger.js';
import { attemptKey, type Job, type Machine, type TaskAttempt } from './task-attempt.js';

/** Attempt numbers rise across leaders: the leader term is the high part. */
const ATTEMPTS_PER_TERM = 2 ** 28;

/**
 * The only place that binds task attempts to machines and unbinds them, so
 * that the machine, the job and the team's quota always agree on them.
 */
export class TaskAttempts {
  /** Machines with commands that have not left: a direct command takes them, unless a heartbeat comes first. */
  readonly pendingCommands = new Set<Machine>();
  private attemptCount = 0;

  constructor(
    private readonly term: number,
    private readonly quota: QuotaUsage,
    private readonly roundTrigger: RoundTrigger,
  ) {}

  /** Binds a ready task to a machine; its start leaves with the answer to the next heartbeat or with a direct command. */
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
   * Binds an attempt that a machine lists and that is not known here: an
   * earlier leader started it, or it was taken for lost. It is stopped when its
   * task is done or has another attempt under way.
   */
  adopt(job: Job, task: TaskStatus, machine: Machine, now: number): TaskAttempt {
    const attempt = createAttempt(job, task.index, task.attempt, machine, now);
    // For an exited task this is balanced by the exit that follows at once.
    this.bind(attempt);
    if (task.state === 'exited') return attempt;
    const other = job.activeAttempts.get(task.index);
    if (other && isUnsent(other)) this.release(other, 0);
    if (job.isDone(task.index) || job.activeAttempts.has(task.index)) this.stop(attempt, 0);
    else job.addAttempt(attempt);
    return attempt;
  }

  /** Has the task stopped within `graceS` seconds; the command is repeated until the machine lists its exit. */
  stop(attempt: TaskAttempt, graceS: number): void {
    attempt.stopRequest = { graceS, commandSent: false };
    this.pendingCommands.add(attempt.machine);
  }

  /** Stops every attempt of a job that has ended; one whose start never left is released at once. */
  endAll(job: Job): void {
    for (const attempt of [...job.activeAttempts.values()]) {
      if (isUnsent(attempt)) this.release(attempt, 0);
      else this.stop(attempt, 0);
    }
  }

  /** The attempt has ended without a result; its task is ready again, at once or at `until`. */
  release(attempt: TaskAttempt, until: number): void {
    // A command's answer may come after a new agent epoch or the machine's termination released it:
    // what it used must not be taken off the team twice, or its limit is overrun.
    const { job, machine } = attempt;
    const known = machine.attempts.get(attemptKey(job.spec.id, attempt.index, attempt.attempt));
    if (known !== attempt) return;
    if (attempt.state !== 'exited') this.quota.credit(job.spec);
    machine.removeAttempt(attempt);
    job.removeAttempt(attempt, until);
    if (!machine.busy) machine.idleSince = Math.max(machine.idleSince, attempt.assignedAt);
    this.roundTrigger.request();
  }

  /** Releases all attempts of a machine on which nothing runs any more; returns how many had not exited. */
  releaseAll(machine: Machine): number {
    let lost = 0;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.state !== 'exited') lost++;
      this.release(attempt, 0);
    }
    return lost;
  }

  /** Releases the machine's attempts whose start never left for it: they may go elsewhere. */
  releaseUnsent(machine: Machine): void {
    for (const attempt of [...machine.attempts.values()])
      if (isUnsent(attempt)) this.release(attempt, 0);
  }

  /** The machine lists the attempt as exited: it takes up no resources, but stays until it may be forgotten. */
  recordExit(attempt: TaskAttempt, now: number): void {
    const { job, machine } = attempt;
    this.quota.credit(job.spec);
    machine.markExited(attempt);
    attempt.mayBeForgotten = true;
    this.roundTrigger.request();
    if (!machine.busy) machine.idleSince = now;
  }

  /** The machine answered a direct command with the heartbeat of this sequence number. */
  applyCommandResult(
    startedAttempts: readonly TaskAttempt[],
    executed: boolean,
    sequence: number,
  ): void {
    for (const attempt of startedAttempts) {
      // Executed: a copy of it may yet arrive, until the fence has moved on.
      if (executed) attempt.startSentSequence = Math.max(attempt.startSentSequence ?? 0, sequence);
      else {
        // Refused for its fencing token or agent epoch, and so will every copy be.
        attempt.directCommandFence = null;
        if (isUnsent(attempt)) this.release(attempt, 0);
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
