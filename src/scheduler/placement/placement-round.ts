/**
 * The placement of ready tasks on machines, in the steps ready queue, filter,
 * score, assign and, for what found no machine, reserve and preempt. A round
 * looks at all machines; between rounds a machine is filled on its heartbeat.
 */

import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import { allowedStarts, assignTasks, type Placement } from './assignment.js';
import { acceptsTasks, isFeasible } from './feasibility.js';
import { applyPreemption, PreemptionPlanner } from './preemption.js';
import { isReady, readyBatches } from './ready-queue.js';
import { remainingQuotaSlots, reserveQuota } from './remaining-slots.js';
import { releaseExpiredReservations, reserveMachine } from './reservations.js';
import { highestPrice, MachineScorer } from './scoring.js';

/**
 * At most about this share of the machines is reserved for starving jobs at a
 * time (docs/design.md, "Late, one-way, isolated, quick").
 */
const RESERVED_MACHINES_SHARE = 0.1;

/** What a round has decided. */
export interface PlacementResult {
  started: TaskAttempt[];
  /** Tasks that found no machine. */
  unplaced: number;
}

/** The state of a round. */
interface PlacementRound extends Placement {
  /** Machines that take new tasks at all. */
  readonly machines: Machine[];
  /** Those of them with free capacity: most are full under load and need not be scored for each batch. */
  readonly candidates: Machine[];
  readonly scorer: MachineScorer;
  readonly preemption: PreemptionPlanner;
  /** How often a machine was to be reserved for a starving job. */
  machineReservations: number;
}

/**
 * One round of decisions: batches in order, each to the feasible machine with
 * the highest score until it is placed or nothing takes it. `limit` bounds the
 * starts; the caller widens it with the load.
 */
export function runPlacementRound(
  cluster: ClusterState,
  limit: number,
  now: number,
): PlacementResult {
  const batches = readyBatches(cluster, now);
  const round = beginRound(cluster, limit, now);
  let unplaced = 0;
  for (const batch of batches) {
    const remaining = placeBatch(round, batch);
    unplaced += remaining;
    if (remaining > 0) makeWay(round, batch, remaining);
  }
  return { started: round.started, unplaced };
}

function beginRound(cluster: ClusterState, limit: number, now: number): PlacementRound {
  const unconfirmed = cluster.unconfirmedUsage();
  const machines = [...cluster.machines.values()].filter((machine) =>
    acceptsTasks(cluster, machine, now),
  );
  const candidates = machines.filter((machine) => machine.hasFreeCapacity);
  releaseExpiredReservations(machines, now);
  cluster.unplacedBatches = [];
  cluster.reservedQuota.clear();
  return {
    cluster,
    now,
    limit,
    unconfirmed,
    started: [],
    machines,
    candidates,
    scorer: new MachineScorer(cluster.policy.weights, highestPrice(cluster.machineTypes)),
    preemption: new PreemptionPlanner(cluster, machines, now),
    machineReservations: 0,
  };
}

/** Filter, score and assign: starts what it can of the batch; returns how many tasks found no machine. */
function placeBatch(round: PlacementRound, batch: Batch): number {
  let unplaced = batch.count;
  const feasible = round.candidates.filter((machine) => isFeasible(machine, batch));
  while (unplaced > 0) {
    const allowed = allowedStarts(round, batch, unplaced);
    if (allowed <= 0) break;
    const machine = round.scorer.highestScoring(batch, feasible, unplaced);
    if (!machine) break;
    const assigned = assignTasks(round, batch, batch.jobs, machine, allowed);
    unplaced -= assigned;
    // The zone rules or earlier failures kept every job of the batch off this machine.
    if (assigned === 0) feasible.splice(feasible.indexOf(machine), 1);
  }
  return unplaced;
}

/**
 * Reserve and preempt for a batch of which `unplaced` tasks found no machine,
 * unless it is the quota or the limit on starts that holds it up.
 */
function makeWay(round: PlacementRound, batch: Batch, unplaced: number): void {
  const { cluster, limit, unconfirmed, started } = round;
  cluster.unplacedBatches.push(batch);
  // What smaller tasks of the team free piece by piece would go to the next small ones for ever.
  reserveQuota(cluster, batch);
  if (started.length >= limit || remainingQuotaSlots(cluster, batch, unconfirmed) === 0) return;
  if (batch.starving) reserveForStarving(round, batch);
  applyPreemption(cluster, batch, round.preemption.plan(batch, unplaced));
}

/** Reserves a machine, which takes no other work in this round. */
function reserveForStarving(round: PlacementRound, batch: Batch): void {
  const { machines, candidates } = round;
  if (round.machineReservations >= machines.length * RESERVED_MACHINES_SHARE) return;
  round.machineReservations++;
  const reserved = reserveMachine(batch, machines);
  const index = reserved ? candidates.indexOf(reserved) : -1;
  if (index >= 0) candidates.splice(index, 1);
}

/**
 * Fills what a machine's own heartbeat has freed with the batches that the last
 * round left unplaced, in that round's order: between rounds nothing is sorted
 * or scored, and the starts leave with the heartbeat's reply.
 */
export function placeOnMachine(
  cluster: ClusterState,
  machine: Machine,
  limit: number,
  now: number,
): TaskAttempt[] {
  const started: TaskAttempt[] = [];
  if (
    cluster.unplacedBatches.length === 0 ||
    !machine.hasFreeCapacity ||
    !acceptsTasks(cluster, machine, now)
  )
    return started;
  const placement = { cluster, now, limit, unconfirmed: cluster.unconfirmedUsage(), started };
  for (const batch of cluster.unplacedBatches) {
    if (started.length >= limit || !machine.hasFreeCapacity) break;
    if (!mayFill(machine, batch)) continue;
    const allowed = allowedStarts(placement, batch, batch.starving ? 1 : limit);
    if (allowed <= 0) continue;
    const jobs = batch.jobs.filter((job) => isReady(cluster, job, now));
    if (jobs.length > 0) assignTasks(placement, batch, jobs, machine, allowed);
  }
  return started;
}

/** Whether the batch may take what has become free on the machine without a round. */
function mayFill(machine: Machine, batch: Batch): boolean {
  const first = batch.jobs[0];
  if (!isFeasible(machine, batch) || machine.freeSlots(batch.spec) === 0) return false;
  if (machine.reservedForJob !== null && machine.reservedForJob !== first?.spec.id) return false;
  return !(batch.starving && first?.started);
}
