import type { Heartbeat, TaskStatus } from '../../model/heartbeat.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { Job } from '../state/job.js';
import type { Machine, TaskAttempt } from '../state/machine.js';

/** Keeps an answer's one line well below the protocol's 64 KiB. */
const MAX_COMMANDS_PER_MESSAGE = 250;
/** A later fence is waited for by this many tasks, or for this part of a worker's lease, before it is raised: each raise costs the worker a report. */
const FENCE_RAISE_TASKS = 16;
const FENCE_RAISE_LEASES = 0.25;

/** What a machine is to be told at once by a direct command. */
export interface PendingCommands {
  commands: TaskCommand[];
  /** The starts among them. */
  starts: TaskAttempt[];
}

/**
 * Whatever else an answer may order: it renews the lease, so it stops what
 * the report shows of jobs that have ended. Every task was started by this
 * leader or an earlier one, so its job is known here or has ended.
 */
export function stopsOfEndedJobs(
  heartbeat: Heartbeat,
  liveJobs: ReadonlyMap<string, Job>,
): TaskCommand[] {
  const out: TaskCommand[] = [];
  for (const task of heartbeat.tasks) {
    if (out.length >= MAX_COMMANDS_PER_MESSAGE) break;
    if (task.state === 'exited' || liveJobs.has(task.jobId)) continue;
    out.push({
      op: 'stop',
      jobId: task.jobId,
      index: task.index,
      attempt: task.attempt,
      graceS: 0,
    });
  }
  return out;
}

/** The orders for a machine that has just reported, in the order of their execution. */
export function heartbeatCommands(
  machine: Machine,
  unknownTasks: readonly TaskStatus[],
): TaskCommand[] {
  const commands: TaskCommand[] = [];
  if (!machine.confirmed) return commands;
  // Ends of jobs come first: where an answer is full, what runs on does so under a renewed lease.
  addStopsOfEndedJobs(commands, machine);
  addUnknownTaskCommands(commands, unknownTasks);
  addAttemptCommands(commands, machine);
  return commands;
}

function addStopsOfEndedJobs(commands: TaskCommand[], machine: Machine): void {
  for (const { job, index, attempt, state, stopRequest: stop } of machine.attempts.values())
    if (job.ended && stop && state !== 'exited' && state !== 'assigned')
      commands.push({ op: 'stop', jobId: job.spec.id, index, attempt, graceS: 0 });
}

function addUnknownTaskCommands(
  commands: TaskCommand[],
  unknownTasks: readonly TaskStatus[],
): void {
  for (const { jobId, index, attempt, state } of unknownTasks) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    if (state === 'exited') commands.push({ op: 'forget', jobId, index, attempt });
    else commands.push({ op: 'stop', jobId, index, attempt, graceS: 0 });
  }
}

function addAttemptCommands(commands: TaskCommand[], machine: Machine): void {
  for (const attempt of machine.attempts.values()) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const command = takeCommand(attempt, machine.lastSequence);
    if (command) commands.push(command);
  }
}

/** What the answer to the report of this number tells the machine of the task; a start counts as sent with it. */
function takeCommand(attempt: TaskAttempt, seq: number): TaskCommand | null {
  const { job, stopRequest: stop } = attempt;
  const base = { jobId: job.spec.id, index: attempt.index, attempt: attempt.attempt };
  if (attempt.state === 'exited')
    return attempt.mayBeForgotten && attempt.directCommandFence === null
      ? { op: 'forget', ...base }
      : null;
  if (attempt.state === 'assigned') {
    if (job.ended) return null;
    attempt.startSentSequence = seq;
    return { op: 'start', ...base };
  }
  if (!stop || job.ended) return null;
  // What saves already is told again only to end at once.
  if (attempt.state === 'saving' && stop.graceS !== 0) return null;
  return { op: 'stop', ...base, graceS: stop.graceS };
}

/**
 * Raises the machine's fence when what left by direct commands has to be
 * over for good: attempts to be forgotten, which a copy of the command would
 * start again, and starts whose command had no answer. The answer under the
 * higher token has every earlier command refused from then on, copies too.
 */
export function raiseFenceIfDue(machine: Machine, timing: SchedulerTiming, now: number): void {
  if (!machine.confirmed || machine.fence > machine.acknowledgedFence) return;
  let waiting = 0;
  for (const attempt of machine.attempts.values()) {
    if (attempt.directCommandFence === null) continue;
    const unanswered =
      attempt.state === 'assigned' && now - attempt.assignedAt > timing.heartbeatMs;
    if (unanswered || (attempt.state === 'exited' && attempt.mayBeForgotten)) waiting++;
  }
  if (waiting === 0) {
    machine.fenceRaiseDueSince = null;
    return;
  }
  machine.fenceRaiseDueSince ??= now;
  const waited = now - machine.fenceRaiseDueSince >= timing.agentLeaseMs * FENCE_RAISE_LEASES;
  if (waiting < FENCE_RAISE_TASKS && !waited) return;
  machine.fence++;
  machine.fenceRaiseDueSince = null;
}

/** What a machine is to be told at once; starts are in doubt from here on until they are answered. */
export function takePendingCommands(machine: Machine): PendingCommands {
  const commands: TaskCommand[] = [];
  const startedAttempts: TaskAttempt[] = [];
  // Behind a cut the orders go with the answers to its reports.
  if (!machine.confirmed || machine.relayed) return { commands: commands, starts: startedAttempts };
  for (const attempt of machine.attempts.values()) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const base = { jobId: attempt.job.spec.id, index: attempt.index, attempt: attempt.attempt };
    if (attempt.state === 'assigned') {
      if (attempt.job.ended || !isUnsent(attempt)) continue;
      attempt.directCommandFence = machine.fence;
      startedAttempts.push(attempt);
      commands.push({ op: 'start', ...base });
    } else if (
      attempt.stopRequest &&
      !attempt.stopRequest.commandSent &&
      attempt.state !== 'exited'
    ) {
      attempt.stopRequest.commandSent = true;
      commands.push({ op: 'stop', ...base, graceS: attempt.stopRequest.graceS });
    }
  }
  return { commands: commands, starts: startedAttempts };
}

/** Bound, but its start has left by no way. */
export function isUnsent(attempt: TaskAttempt): boolean {
  return (
    attempt.state === 'assigned' &&
    attempt.startSentSequence === null &&
    attempt.directCommandFence === null
  );
}
