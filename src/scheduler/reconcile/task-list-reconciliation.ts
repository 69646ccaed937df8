/** Reconciles the known task attempts of a machine with the task list in its heartbeat. */
import type { Heartbeat, TaskStatus } from '../../model/heartbeat.js';
import { attemptKey, type Job, type Machine, type TaskAttempt } from '../state/task-attempt.js';
import type { TaskAttempts } from '../state/task-attempts.js';
import type { AgentResponsiveness } from './agent-responsiveness.js';
import type { HeartbeatSource } from './heartbeat-source.js';
import type { TaskExits } from './task-exits.js';
import type { UnknownTasks } from './unknown-tasks.js';

/** Dependencies of `TaskListReconciliation`. */
export interface TaskListReconciliationOptions {
  /** The live jobs by id. */
  jobs: ReadonlyMap<string, Job>;
  attempts: TaskAttempts;
  exits: TaskExits;
  unknownTasks: UnknownTasks;
  responsiveness: AgentResponsiveness;
}

/**
 * Applies task lists. Invariant: an attempt that a machine doesn't list is
 * released only when its start can no longer take effect; otherwise the task
 * could run twice.
 */
export class TaskListReconciliation {
  private readonly jobs: ReadonlyMap<string, Job>;
  private readonly attempts: TaskAttempts;
  private readonly exits: TaskExits;
  private readonly unknownTasks: UnknownTasks;
  private readonly responsiveness: AgentResponsiveness;

  constructor(options: TaskListReconciliationOptions) {
    this.jobs = options.jobs;
    this.attempts = options.attempts;
    this.exits = options.exits;
    this.unknownTasks = options.unknownTasks;
    this.responsiveness = options.responsiveness;
  }

  /** Applies the complete task list of a heartbeat under this leader's own term. */
  reconcile(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource, now: number): void {
    machine.fence = Math.max(machine.fence, heartbeat.fence);
    machine.acknowledgedFence = Math.max(machine.acknowledgedFence, heartbeat.fence);
    const listedKeys = new Set<string>();
    const unknownTasks: TaskStatus[] = [];
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.jobId, task.index, task.attempt);
      listedKeys.add(key);
      const attempt = machine.attempts.get(key) ?? this.adopt(task, machine, now);
      if (attempt) this.applyStatus(attempt, task, now);
      else unknownTasks.push(task);
    }
    this.unknownTasks.record(machine, unknownTasks);
    const heartbeatSequence = source === 'heartbeat' ? heartbeat.sequence : null;
    this.releaseUnlisted(machine, listedKeys, heartbeatSequence, now);
  }

  /** Adopts a listed task that is unknown on this machine. Returns null when no live job has such a task. */
  private adopt(task: TaskStatus, machine: Machine, now: number): TaskAttempt | null {
    const job = this.jobs.get(task.jobId);
    if (!job || task.index >= job.spec.tasks) return null;
    return this.attempts.adopt(job, task, machine, now);
  }

  private applyStatus(attempt: TaskAttempt, task: TaskStatus, now: number): void {
    if (task.state === 'exited') {
      if (attempt.state !== 'exited') this.exits.apply(attempt, task, now);
      return;
    }
    // The task has started, so the start command reached the machine.
    if (attempt.state === 'assigned') this.responsiveness.markResponsive(attempt.machine);
    if (task.state === 'running' && attempt.runningSince === null) {
      attempt.runningSince = now;
      attempt.machine.recordImageUse(attempt.job.spec);
    }
    attempt.state = task.state;
  }

  /**
   * Releases attempts that the list omits, except those whose start may still take
   * effect. `heartbeatSequence` is null for a heartbeat in a command reply, which doesn't
   * prove that a response was lost.
   */
  private releaseUnlisted(
    machine: Machine,
    listedKeys: ReadonlySet<string>,
    heartbeatSequence: number | null,
    now: number,
  ): void {
    let startLost = false;
    for (const [key, attempt] of machine.attempts) {
      const fencedOff = clearFencedCommand(attempt, machine);
      if (listedKeys.has(key)) continue;
      if (attempt.state === 'exited') machine.removeAttempt(attempt);
      else if (attempt.state !== 'assigned') this.attempts.release(attempt, 0);
      else if (this.releaseUnstarted(attempt, fencedOff, heartbeatSequence)) startLost = true;
    }
    if (startLost) this.responsiveness.recordMissedAcknowledgement(machine, now);
  }

  /**
   * Releases an unlisted attempt whose start can no longer reach the machine.
   * Returns true when the start was lost with a heartbeat response.
   */
  private releaseUnstarted(
    attempt: TaskAttempt,
    fencedOff: boolean,
    heartbeatSequence: number | null,
  ): boolean {
    // The start was sent only in a direct command, which the machine refuses from now on.
    const refused = fencedOff && attempt.startSentSequence === null;
    const lost = !refused && heartbeatSequence !== null && isStartLost(attempt, heartbeatSequence);
    if (refused || lost) this.attempts.release(attempt, 0);
    return lost;
  }
}

/**
 * Reports whether the machine now refuses the direct command with the attempt's
 * start, including duplicates of it, and if so clears `directCommandFence`.
 */
function clearFencedCommand(attempt: TaskAttempt, machine: Machine): boolean {
  const { directCommandFence } = attempt;
  if (directCommandFence === null || directCommandFence >= machine.acknowledgedFence) return false;
  attempt.directCommandFence = null;
  return true;
}

/**
 * Reports whether the response that carried the start was dropped. An agent sends
 * one heartbeat at a time and drops late responses, so a later heartbeat that
 * doesn't list the attempt proves it.
 */
function isStartLost(attempt: TaskAttempt, heartbeatSequence: number): boolean {
  return (
    attempt.startSentSequence !== null &&
    heartbeatSequence > attempt.startSentSequence &&
    attempt.directCommandFence === null
  );
}
