import type { Heartbeat, TaskCommand, TaskStatus } from '../../model/model.js';
import type { SchedulerTiming } from '../../model/policy.js';
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
export function stopsOfEndedJobs(r: Heartbeat, liveJobs: ReadonlyMap<string, Job>): TaskCommand[] {
  const out: TaskCommand[] = [];
  for (const t of r.tasks) {
    if (out.length >= MAX_COMMANDS_PER_MESSAGE) break;
    if (t.state === 'exited' || liveJobs.has(t.jobId)) continue;
    out.push({ op: 'stop', job: t.jobId, index: t.index, attempt: t.attempt, graceS: 0 });
  }
  return out;
}

/** The orders for a machine that has just reported, in the order of their execution. */
export function heartbeatCommands(m: Machine, strays: readonly TaskStatus[]): TaskCommand[] {
  const orders: TaskCommand[] = [];
  if (!m.confirmed) return orders;
  // Ends of jobs come first: where an answer is full, what runs on does so under a renewed lease.
  addStopsOfEndedJobs(orders, m);
  addStrayOrders(orders, strays);
  addBindingOrders(orders, m);
  return orders;
}

function addStopsOfEndedJobs(orders: TaskCommand[], machine: Machine): void {
  for (const { job, index, attempt, state, stopRequest: stop } of machine.attempts.values())
    if (job.ended && stop && state !== 'exited' && state !== 'assigned')
      orders.push({ op: 'stop', job: job.spec.id, index, attempt, graceS: 0 });
}

function addStrayOrders(orders: TaskCommand[], strays: readonly TaskStatus[]): void {
  for (const { jobId: job, index, attempt, state } of strays) {
    if (orders.length >= MAX_COMMANDS_PER_MESSAGE) break;
    if (state === 'exited') orders.push({ op: 'forget', job, index, attempt });
    else orders.push({ op: 'stop', job, index, attempt, graceS: 0 });
  }
}

function addBindingOrders(orders: TaskCommand[], machine: Machine): void {
  for (const binding of machine.attempts.values()) {
    if (orders.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const order = takeOrder(binding, machine.lastSequence);
    if (order) orders.push(order);
  }
}

/** What the answer to the report of this number tells the machine of the task; a start counts as sent with it. */
function takeOrder(binding: TaskAttempt, seq: number): TaskCommand | null {
  const { job, stopRequest: stop } = binding;
  const base = { job: job.spec.id, index: binding.index, attempt: binding.attempt };
  if (binding.state === 'exited')
    return binding.mayBeForgotten && binding.directCommandFence === null
      ? { op: 'forget', ...base }
      : null;
  if (binding.state === 'assigned') {
    if (job.ended) return null;
    binding.startSentSequence = seq;
    return { op: 'start', ...base };
  }
  if (!stop || job.ended) return null;
  // What saves already is told again only to end at once.
  if (binding.state === 'saving' && stop.graceS !== 0) return null;
  return { op: 'stop', ...base, graceS: stop.graceS };
}

/**
 * Raises the machine's fence when what left by direct commands has to be
 * over for good: attempts to be forgotten, which a copy of the command would
 * start again, and starts whose command had no answer. The answer under the
 * higher token has every earlier command refused from then on, copies too.
 */
export function raiseFenceIfDue(m: Machine, timing: SchedulerTiming, now: number): void {
  if (!m.confirmed || m.fence > m.acknowledgedFence) return;
  let waiting = 0;
  for (const b of m.attempts.values()) {
    if (b.directCommandFence === null) continue;
    const unanswered = b.state === 'assigned' && now - b.assignedAt > timing.heartbeatMs;
    if (unanswered || (b.state === 'exited' && b.mayBeForgotten)) waiting++;
  }
  if (waiting === 0) {
    m.fenceRaiseDueSince = null;
    return;
  }
  m.fenceRaiseDueSince ??= now;
  const waited = now - m.fenceRaiseDueSince >= timing.agentLeaseMs * FENCE_RAISE_LEASES;
  if (waiting < FENCE_RAISE_TASKS && !waited) return;
  m.fence++;
  m.fenceRaiseDueSince = null;
}

/** What a machine is to be told at once; starts are in doubt from here on until they are answered. */
export function takePendingCommands(m: Machine): PendingCommands {
  const orders: TaskCommand[] = [];
  const starts: TaskAttempt[] = [];
  // Behind a cut the orders go with the answers to its reports.
  if (!m.confirmed || m.relayed) return { commands: orders, starts };
  for (const b of m.attempts.values()) {
    if (orders.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const base = { job: b.job.spec.id, index: b.index, attempt: b.attempt };
    if (b.state === 'assigned') {
      if (b.job.ended || !isUnsent(b)) continue;
      b.directCommandFence = m.fence;
      starts.push(b);
      orders.push({ op: 'start', ...base });
    } else if (b.stopRequest && !b.stopRequest.commandSent && b.state !== 'exited') {
      b.stopRequest.commandSent = true;
      orders.push({ op: 'stop', ...base, graceS: b.stopRequest.graceS });
    }
  }
  return { commands: orders, starts };
}

/** Bound, but its start has left by no way. */
export function isUnsent(b: TaskAttempt): boolean {
  return b.state === 'assigned' && b.startSentSequence === null && b.directCommandFence === null;
}
