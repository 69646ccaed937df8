import type { MachineReport, Order, TaskReport } from '../../model/model.js';
import type { CoreTiming } from '../../model/policy.js';
import type { Job } from '../state/job.js';
import type { Binding, Machine } from '../state/machine.js';

/** Keeps an answer's one line well below the protocol's 64 KiB. */
const ORDERS_PER_ANSWER = 250;
/** A later fence is waited for by this many tasks, or for this part of a worker's lease, before it is raised: each raise costs the worker a report. */
const FENCE_TASKS = 16;
const FENCE_LEASES = 0.25;

/** What a machine is to be told at once by a direct command. */
export interface PendingOrders {
  orders: Order[];
  /** The starts among them. */
  starts: Binding[];
}

/**
 * Whatever else an answer may order: it renews the lease, so it stops what
 * the report shows of jobs that have ended. Every task was started by this
 * leader or an earlier one, so its job is known here or has ended.
 */
export function stopsOfEndedJobs(r: MachineReport, liveJobs: ReadonlyMap<string, Job>): Order[] {
  const out: Order[] = [];
  for (const t of r.tasks) {
    if (out.length >= ORDERS_PER_ANSWER) break;
    if (t.state === 'exited' || liveJobs.has(t.job)) continue;
    out.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
  }
  return out;
}

/** The orders for a machine that has just reported, in the order of their execution. */
export function reportOrders(m: Machine, strays: readonly TaskReport[]): Order[] {
  const orders: Order[] = [];
  if (!m.confirmed) return orders;
  // Ends of jobs come first: where an answer is full, what runs on does so under a renewed lease.
  addStopsOfEndedJobs(orders, m);
  addStrayOrders(orders, strays);
  addBindingOrders(orders, m);
  return orders;
}

function addStopsOfEndedJobs(orders: Order[], machine: Machine): void {
  for (const { job, index, attempt, state, stop } of machine.bindings.values())
    if (job.over && stop && state !== 'exited' && state !== 'assigned')
      orders.push({ op: 'stop', job: job.spec.id, index, attempt, graceS: 0 });
}

function addStrayOrders(orders: Order[], strays: readonly TaskReport[]): void {
  for (const { job, index, attempt, state } of strays) {
    if (orders.length >= ORDERS_PER_ANSWER) break;
    if (state === 'exited') orders.push({ op: 'forget', job, index, attempt });
    else orders.push({ op: 'stop', job, index, attempt, graceS: 0 });
  }
}

function addBindingOrders(orders: Order[], machine: Machine): void {
  for (const binding of machine.bindings.values()) {
    if (orders.length >= ORDERS_PER_ANSWER) break;
    const order = takeOrder(binding, machine.seq);
    if (order) orders.push(order);
  }
}

/** What the answer to the report of this number tells the machine of the task; a start counts as sent with it. */
function takeOrder(binding: Binding, seq: number): Order | null {
  const { job, stop } = binding;
  const base = { job: job.spec.id, index: binding.index, attempt: binding.attempt };
  if (binding.state === 'exited')
    return binding.settled && binding.direct === null ? { op: 'forget', ...base } : null;
  if (binding.state === 'assigned') {
    if (job.over) return null;
    binding.sentSeq = seq;
    return { op: 'start', ...base };
  }
  if (!stop || job.over) return null;
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
export function raiseFence(m: Machine, timing: CoreTiming, now: number): void {
  if (!m.confirmed || m.fence > m.fenced) return;
  let waiting = 0;
  for (const b of m.bindings.values()) {
    if (b.direct === null) continue;
    const unanswered = b.state === 'assigned' && now - b.boundAt > timing.reportMs;
    if (unanswered || (b.state === 'exited' && b.settled)) waiting++;
  }
  if (waiting === 0) {
    m.fenceSince = null;
    return;
  }
  m.fenceSince ??= now;
  const waited = now - m.fenceSince >= timing.workerLeaseMs * FENCE_LEASES;
  if (waiting < FENCE_TASKS && !waited) return;
  m.fence++;
  m.fenceSince = null;
}

/** What a machine is to be told at once; starts are in doubt from here on until they are answered. */
export function pendingOrders(m: Machine): PendingOrders {
  const orders: Order[] = [];
  const starts: Binding[] = [];
  // Behind a cut the orders go with the answers to its reports.
  if (!m.confirmed || m.relayed) return { orders, starts };
  for (const b of m.bindings.values()) {
    if (orders.length >= ORDERS_PER_ANSWER) break;
    const base = { job: b.job.spec.id, index: b.index, attempt: b.attempt };
    if (b.state === 'assigned') {
      if (b.job.over || !neverSent(b)) continue;
      b.direct = m.fence;
      starts.push(b);
      orders.push({ op: 'start', ...base });
    } else if (b.stop && !b.stop.told && b.state !== 'exited') {
      b.stop.told = true;
      orders.push({ op: 'stop', ...base, graceS: b.stop.graceS });
    }
  }
  return { orders, starts };
}

/** Bound, but its start has left by no way. */
export function neverSent(b: Binding): boolean {
  return b.state === 'assigned' && b.sentSeq === null && b.direct === null;
}
