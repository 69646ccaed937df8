/**
 * The commands that bring a machine in line with the cluster state: in the answer
 * to a heartbeat, or in a direct command for what should not wait for one.
 */
import type { Heartbeat, TaskStatus } from '../../model/heartbeat.js';
import type { SchedulerTiming } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';

/** Keeps the single line of an answer well below the protocol's 64 KiB. */
const MAX_COMMANDS_PER_MESSAGE = 250;
/** The fence is raised when this many tasks wait for it: each raise costs the agent a heartbeat. */
const FENCE_RAISE_TASKS = 16;
/** With fewer tasks it is raised when they have waited for this part of an agent lease. */
const FENCE_RAISE_LEASES = 0.25;

/** What a direct command to a machine carries. */
export interface PendingCommands {
  commands: TaskCommand[];
  /** The attempts whose starts are among them. */
  starts: TaskAttempt[];
}

/**
 * The least that any answer to the heartbeat has to carry: it renews the agent's
 * lease, so it stops what the heartbeat lists of ended jobs. Every task was
 * started by this leader or an earlier one, so its job is live here or has ended.
 */
export function stopsOfEndedJobs(
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
 * The commands for a machine that has just sent a heartbeat, in the order of their
 * execution; none until it is confirmed. The starts among them count as sent.
 */
export function heartbeatCommands(
  machine: Machine,
  unknownTasks: readonly TaskStatus[],
): TaskCommand[] {
  const commands: TaskCommand[] = [];
  if (!machine.confirmed) return commands;
  // Stops of ended jobs come first: what does not fit the answer runs on under a renewed lease.
  addStopsOfEndedJobs(commands, machine);
  addUnknownTaskCommands(commands, unknownTasks);
  addAttemptCommands(commands, machine);
  return commands;
}

function addStopsOfEndedJobs(commands: TaskCommand[], machine: Machine): void {
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
    const command = takeCommand(attempt, machine.lastSequence);
    if (command) commands.push(command);
  }
}

/**
 * What the answer to the heartbeat of this sequence number has to say of the attempt,
 * or null; a start counts as sent with it.
 */
function takeCommand(attempt: TaskAttempt, sequence: number): TaskCommand | null {
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
  // A task that saves its checkpoint already is stopped again only when it has to end at once.
  if (attempt.state === 'saving' && stopRequest.graceS !== 0) return null;
  return { op: 'stop', ...base, graceS: stopRequest.graceS };
}

/**
 * Raises the machine's fence when what left by direct commands has to be over
 * for good: attempts to be forgotten, which a copy of the command would start
 * again, and starts whose command had no reply. The answer under the higher
 * fencing token has every earlier command refused from then on, copies too.
 */
export function raiseFenceIfDue(machine: Machine, timing: SchedulerTiming, now: number): void {
  if (!machine.confirmed || machine.fence > machine.acknowledgedFence) return;
  const waiting = countWaitingForFence(machine, timing, now);
  if (waiting === 0) {
    machine.fenceRaiseDueSince = null;
    return;
  }
  machine.fenceRaiseDueSince ??= now;
  const waitedLong = now - machine.fenceRaiseDueSince >= timing.agentLeaseMs * FENCE_RAISE_LEASES;
  if (waiting < FENCE_RAISE_TASKS && !waitedLong) return;
  machine.fence++;
  machine.fenceRaiseDueSince = null;
}

function countWaitingForFence(machine: Machine, timing: SchedulerTiming, now: number): number {
  let waiting = 0;
  for (const attempt of machine.attempts.values()) {
    if (attempt.directCommandFence === null) continue;
    const unanswered =
      attempt.state === 'assigned' && now - attempt.assignedAt > timing.heartbeatMs;
    const toBeForgotten = attempt.state === 'exited' && attempt.mayBeForgotten;
    if (unanswered || toBeForgotten) waiting++;
  }
  return waiting;
}

/**
 * Takes what should not wait for the machine's next heartbeat: starts and stops
 * that have not been sent. From here on it is not known whether the starts take
 * effect, until the command is answered.
 */
export function takePendingCommands(machine: Machine): PendingCommands {
  const commands: TaskCommand[] = [];
  const starts: TaskAttempt[] = [];
  // A machine that this controller can't reach gets its commands with the answers to its relayed heartbeats.
  if (!machine.confirmed || machine.relayed) return { commands, starts };
  for (const attempt of machine.attempts.values()) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const command = takePendingCommand(attempt, machine.fence);
    if (!command) continue;
    commands.push(command);
    if (command.op === 'start') starts.push(attempt);
  }
  return { commands, starts };
}

/** What a direct command under this fence has to say of the attempt, or null; it counts as sent with it. */
function takePendingCommand(attempt: TaskAttempt, fence: number): TaskCommand | null {
  const { job, index, stopRequest } = attempt;
  const base = { jobId: job.spec.id, index, attempt: attempt.attempt };
  if (attempt.state === 'assigned') {
    if (job.ended || !isUnsent(attempt)) return null;
    attempt.directCommandFence = fence;
    return { op: 'start', ...base };
  }
  if (!stopRequest || stopRequest.commandSent || attempt.state === 'exited') return null;
  stopRequest.commandSent = true;
  return { op: 'stop', ...base, graceS: stopRequest.graceS };
}

/** Whether the attempt's start has left neither with an answer nor with a direct command. */
export function isUnsent(attempt: TaskAttempt): boolean {
  return (
    attempt.state === 'assigned' &&
    attempt.startSentSequence === null &&
    attempt.directCommandFence === null
  );
}
