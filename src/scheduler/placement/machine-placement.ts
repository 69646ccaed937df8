/**
 * Places waiting tasks on one machine between rounds, so that the response to its
 * heartbeat carries the starts.
 */
import type { Batch, BatchKind } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';
import { allowedStarts, assignTasks, type PlacementContext } from './assignment.js';
import { acceptsTasks, isFeasible } from './feasibility.js';
import { isReady } from './ready-queue.js';

/**
 * Places the batches that the last round left unplaced, in that round's order, on
 * a machine that has just sent a heartbeat. Nothing is sorted or scored. While the
 * machine fits no kind of waiting tasks, which is the rule under load, it visits one
 * batch of each kind only.
 */
export function placeOnMachine(
  cluster: ClusterState,
  machine: Machine,
  maxStarts: number,
  now: number,
): TaskAttempt[] {
  if (cluster.unplacedBatches.length === 0 || !machine.hasFreeCapacity) return [];
  if (!acceptsTasks(cluster, machine, now)) return [];
  const fittingKinds = kindsThatFit(cluster, machine);
  if (fittingKinds.size === 0) return [];
  const unconfirmedUsage = cluster.unconfirmedUsage();
  const context: PlacementContext = { cluster, now, maxStarts, unconfirmedUsage, started: [] };
  placeWaiting(context, machine, fittingKinds);
  return context.started;
}

function placeWaiting(
  context: PlacementContext,
  machine: Machine,
  initiallyFitting: ReadonlySet<BatchKind>,
): void {
  const { cluster, maxStarts, started } = context;
  let fittingKinds = initiallyFitting;
  for (const batch of cluster.unplacedBatches) {
    if (started.length >= maxStarts || fittingKinds.size === 0) return;
    if (!fittingKinds.has(batch.kind) || !mayUseFreeCapacity(machine, batch)) continue;
    const allowed = allowedStarts(context, batch, batch.starving ? 1 : maxStarts);
    if (allowed <= 0) continue;
    const jobs = readyJobs(cluster, batch, context.now);
    if (assignTasks(context, batch, jobs, machine, allowed) === 0) continue;
    if (!machine.hasFreeCapacity) return;
    fittingKinds = kindsThatFit(cluster, machine);
  }
}

/** Returns the kinds of waiting batches whose tasks fit the machine now. */
function kindsThatFit(cluster: ClusterState, machine: Machine): Set<BatchKind> {
  const kinds = new Set<BatchKind>();
  for (const batch of cluster.unplacedBatches.oneOfEachKind())
    if (isFeasible(machine, batch) && machine.freeSlots(batch.spec) > 0) kinds.add(batch.kind);
  return kinds;
}

/** Yields those jobs of the batch that are ready when it is their turn. */
function* readyJobs(cluster: ClusterState, batch: Batch, now: number): Iterable<Job> {
  for (const job of batch.jobs) if (isReady(cluster, job, now)) yield job;
}

/** Reports whether the batch may use free capacity of the machine, which fits its tasks, between rounds. */
function mayUseFreeCapacity(machine: Machine, batch: Batch): boolean {
  const firstJob = batch.jobs[0];
  if (machine.reservedForJob !== null && machine.reservedForJob !== firstJob?.spec.id) return false;
  return !(batch.starving && firstJob?.started);
}
