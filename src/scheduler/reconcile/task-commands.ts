/**
 * Creates the commands that bring a machine in line with the cluster state. They
 * are sent in the response to a heartbeat, or in a direct command if they should
 * not wait for the next heartbeat.
 */
import type { Heartbeat, TaskStatus } from '../../model/heartbeat.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';

/** Keeps the single line of a response well below the protocol's limit of 64 KiB. */
const MAX_COMMANDS_PER_MESSAGE = 250;
/** The fence is raised once this many tasks wait for it; each raise costs the agent a heartbeat. */
const FENCE_RAISE_TASKS = 16;
/** With fewer waiting tasks, the fence is raised after this time, in agent leases. */
const FENCE_RAISE_LEASES = 0.25;

/** The content of a direct command to a machine. */
export interface PendingCommands {
  commands: TaskCommand[];
  /** The attempts started by `commands`. */
  starts: TaskAttempt[];
}

/**
 * Returns the commands that every response to the heartbeat must carry. The
 * response renews the agent's lease, so it has to stop listed tasks of ended jobs.
 * Every task was started by this leader or an earlier one, so its job is either
 * live here or has ended.
 */
export function stopCommandsForEndedJobs(
  heartbeat: Heartbeat,
  liveJobs: ReadonlyMap<string, Job>,
): TaskCommand[] {
  const commands: TaskCommand[] = [];
  for (const task of heartbeat.tasks) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    if (task.state === 'exited' || liveJobs.has(task.jobId)) continue;
    commands.push({
      op: 'stop',
      jobId: task.jobId,
      index: task.index,
      attempt: task.attempt,
      graceS: 0,
    });
  }
  return commands;
}

/**
 * Returns the commands for a machine that has just sent a heartbeat, in the order
 * of execution, and records the starts among them as sent. Returns none until the
 * machine is confirmed.
 */
export function heartbeatCommands(
  machine: Machine,
  unknownTasks: readonly TaskStatus[],
): TaskCommand[] {
  const commands: TaskCommand[] = [];
  if (!machine.confirmed) return commands;
  // Stops for ended jobs come first: a task whose stop doesn't fit keeps running under a renewed lease.
  addStopsForEndedJobs(commands, machine);
  addUnknownTaskCommands(commands, unknownTasks);
  addAttemptCommands(commands, machine);
  return commands;
}

function addStopsForEndedJobs(commands: TaskCommand[], machine: Machine): void {
  for (const { job, index, attempt, state, stopRequest } of machine.attempts.values())
    if (job.ended && stopRequest && state !== 'exited' && state !== 'assigned')
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
    const command = createHeartbeatCommand(attempt, machine.lastSequence);
    if (command) commands.push(command);
  }
}

/**
 * Returns the command for the attempt in the response to the heartbeat with this
 * sequence number, or null when there is none. Records a start as sent.
 */
function createHeartbeatCommand(attempt: TaskAttempt, sequence: number): TaskCommand | null {
  const { job, stopRequest } = attempt;
  const base = { jobId: job.spec.id, index: attempt.index, attempt: attempt.attempt };
  if (attempt.state === 'exited')
    return attempt.mayBeForgotten && attempt.directCommandFence === null
      ? { op: 'forget', ...base }
      : null;
  if (attempt.state === 'assigned') {
    if (job.ended) return null;
    attempt.startSentSequence = sequence;
    return { op: 'start', ...base };
  }
  if (!stopRequest || job.ended) return null;
  // A task that is already saving its checkpoint is stopped again only if it must end at once.
  if (attempt.state === 'saving' && stopRequest.graceS !== 0) return null;
  return { op: 'stop', ...base, graceS: stopRequest.graceS };
}

/**
 * Raises the machine's fence when earlier direct commands must no longer take
 * effect: those of attempts to be forgotten, which a duplicate of the command
 * would start again, and starts whose command had no reply. Once the agent has
 * received a response under the higher fencing token, it refuses all earlier
 * commands and their duplicates.
 */
export function raiseFenceIfDue(machine: Machine, timing: SchedulerTiming, now: number): void {
  if (!machine.confirmed || machine.fence > machine.acknowledgedFence) return;
  const waiting = countAttemptsWaitingForFence(machine, timing, now);
  if (waiting === 0) {
    machine.fenceRaiseDueSince = null;
    return;
  }
  machine.fenceRaiseDueSince ??= now;
  const waitedTooLong =
    now - machine.fenceRaiseDueSince >= timing.agentLeaseMs * FENCE_RAISE_LEASES;
  if (waiting < FENCE_RAISE_TASKS && !waitedTooLong) return;
  machine.fence++;
  machine.fenceRaiseDueSince = null;
}

function countAttemptsWaitingForFence(
  machine: Machine,
  timing: SchedulerTiming,
  now: number,
): number {
  let waiting = 0;
  for (const attempt of machine.attempts.values()) {
    if (attempt.directCommandFence === null) continue;
    const withoutReply =
      attempt.state === 'assigned' && now - attempt.assignedAt > timing.heartbeatMs;
    const toBeForgotten = attempt.state === 'exited' && attempt.mayBeForgotten;
    if (withoutReply || toBeForgotten) waiting++;
  }
  return waiting;
}

/**
 * Returns the unsent starts and stops, which should not wait for the machine's
 * next heartbeat, and records them as sent. Whether the starts take effect is
 * unknown until the machine replies to the command.
 */
export function dequeuePendingCommands(machine: Machine): PendingCommands {
  const commands: TaskCommand[] = [];
  const starts: TaskAttempt[] = [];
  // A machine that this controller can't reach gets its commands in the responses to relayed heartbeats.
  if (!machine.confirmed || machine.relayed) return { commands, starts };
  for (const attempt of machine.attempts.values()) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const command = dequeuePendingCommand(attempt, machine.fence);
    if (!command) continue;
    commands.push(command);
    if (command.op === 'start') starts.push(attempt);
  }
  return { commands, starts };
}

/** Returns the attempt's direct command under this fence and records it as sent; null when there is none. */
function dequeuePendingCommand(attempt: TaskAttempt, fence: number): TaskCommand | null {
  const { job, index, stopRequest } = attempt;
  const base = { jobId: job.spec.id, index, attempt: attempt.attempt };
  if (attempt.state === 'assigned') {
    if (job.ended || !isStartUnsent(attempt)) return null;
    attempt.directCommandFence = fence;
    return { op: 'start', ...base };
  }
  if (!stopRequest || stopRequest.commandSent || attempt.state === 'exited') return null;
  stopRequest.commandSent = true;
  return { op: 'stop', ...base, graceS: stopRequest.graceS };
}

/** Reports whether the attempt's start was sent neither in a response nor in a direct command. */
export function isStartUnsent(attempt: TaskAttempt): boolean {
  return (
    attempt.state === 'assigned' &&
    attempt.startSentSequence === null &&
    attempt.directCommandFence === null
  );
}
