/**
 * Places ready tasks on machines in these steps: ready queue, filter, score and
 * assign, then reserve and preempt for tasks that found no machine. A round
 * considers all machines; machine-placement.ts places tasks between rounds.
 */

import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { PreemptionPass } from '../state/preemption-pass.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import { UnplacedBatches } from '../state/unplaced-batches.js';
import { allowedStarts, assignTasks, type PlacementContext } from './assignment.js';
import { KindFindings } from './batch-kind.js';
import { acceptsTasks, isFeasible } from './feasibility.js';
import { applyPreemption, PreemptionPlanner } from './preemption.js';
import { readyBatches } from './ready-queue.js';
import { remainingQuotaSlots, reserveQuota } from './remaining-slots.js';
import { findMachineToReserve, releaseExpiredReservations } from './reservations.js';
import { highestPrice, MachineScorer } from './scoring.js';

/**
 * Share of the machines, rounded up, that may be reserved for starving jobs at a
 * time (docs/design.md, "Late, one-way, isolated, quick").
 */
const RESERVED_MACHINES_SHARE = 0.1;

/**
 * Visits of machines, and of attempts on them, after which a round ends its search for
 * free slots, for machines to reserve, or for work to preempt. A fleet of 4,000
 * machines is searched a hundred times for slots and a dozen times for work to
 * preempt. The next round goes on.
 */
const MAX_VISITS_PER_SEARCH = 500_000;

/** The result of a placement round. */
export interface PlacementResult {
  started: TaskAttempt[];
  /** Number of tasks that were not placed. */
  unplaced: number;
  /** Number of times that a machine or an attempt on it was visited. */
  visits: number;
  /** Whether a search ended before it had reached all batches, so that the next round is due. */
  unfinished: boolean;
}

/** The state of a placement round. */
interface PlacementRound extends PlacementContext {
  /** Machines that accept new tasks. */
  readonly machines: Machine[];
  /**
   * Those of `machines` with free capacity. Under load most machines are full and are
   * not scored.
   */
  readonly candidates: Machine[];
  readonly scorer: MachineScorer;
  readonly preemption: PreemptionPlanner;
  readonly preemptionPass: PreemptionPass;
  readonly findings: KindFindings;
  /** Number of times that a machine was visited to place tasks. */
  placementVisits: number;
  /** Number of times that a machine was visited to find one to reserve. */
  reservationVisits: number;
  /** Number of attempts in this round to reserve a machine for a starving job. */
  machineReservations: number;
  /** Whether preemptions for some batch are left to a later round. */
  preemptionUnfinished: boolean;
}

/**
 * Runs one placement round: places the batches in the order of the ready queue,
 * each on the feasible machines with the highest scores, until all its tasks are
 * placed or no machine accepts more. Starts at most `maxStarts` attempts; the
 * caller raises this limit with the load.
 */
export function runPlacementRound(
  cluster: ClusterState,
  maxStarts: number,
  now: number,
): PlacementResult {
  const batches = readyBatches(cluster, now);
  const round = beginRound(cluster, maxStarts, now);
  let unplaced = 0;
  for (const batch of batches) {
    const remaining = placeBatch(round, batch);
    unplaced += remaining;
    if (remaining > 0) reserveAndPreempt(round, batch, remaining);
  }
  cluster.unfinishedPreemptionPass = round.preemptionUnfinished ? round.preemptionPass : null;
  return {
    started: round.started,
    unplaced,
    visits: round.placementVisits + round.reservationVisits + round.preemption.visits,
    unfinished: round.preemptionUnfinished || hasSearchedEnough(round),
  };
}

function beginRound(cluster: ClusterState, maxStarts: number, now: number): PlacementRound {
  const unconfirmedUsage = cluster.unconfirmedUsage();
  const machines = [...cluster.machines.values()].filter((machine) =>
    acceptsTasks(cluster, machine, now),
  );
  const candidates = machines.filter((machine) => machine.hasFreeCapacity);
  releaseExpiredReservations(machines, now);
  cluster.unplacedBatches = new UnplacedBatches();
  cluster.reservedQuota.clear();
  const findings = new KindFindings();
  const preemptionPass = cluster.unfinishedPreemptionPass ?? new PreemptionPass();
  return {
    cluster,
    now,
    maxStarts,
    unconfirmedUsage,
    started: [],
    machines,
    candidates,
    scorer: new MachineScorer(cluster.policy.weights, highestPrice(cluster.machineTypes)),
    preemption: new PreemptionPlanner(cluster, machines, now, findings, preemptionPass),
    preemptionPass,
    findings,
    placementVisits: 0,
    reservationVisits: 0,
    machineReservations: 0,
    preemptionUnfinished: false,
  };
}

/**
 * Filters, scores and assigns: places as many tasks of the batch as possible. Returns
 * the number not placed.
 */
function placeBatch(round: PlacementRound, batch: Batch): number {
  const { kind } = batch;
  let unplaced = batch.taskCount;
  if (hasSearchedEnough(round) || round.findings.isWithoutMachine(kind)) return unplaced;
  round.placementVisits += round.candidates.length;
  const feasible = round.candidates.filter((machine) => isFeasible(machine, batch));
  let excludedMachines = 0;
  while (unplaced > 0 && !hasSearchedEnough(round)) {
    const allowed = allowedStarts(round, batch, unplaced);
    if (allowed <= 0) break;
    round.placementVisits += feasible.length;
    const machine = round.scorer.highestScoring(batch, feasible, unplaced);
    if (!machine) {
      // A machine that is excluded for the jobs of this batch may suit another batch of the kind.
      if (excludedMachines === 0) round.findings.recordWithoutMachine(kind);
      break;
    }
    const assigned = assignTasks(round, batch, batch.jobs, machine, allowed);
    unplaced -= assigned;
    if (assigned > 0) {
      round.findings.clear();
      continue;
    }
    // Zone rules or earlier failures exclude every job of the batch from this machine.
    feasible.splice(feasible.indexOf(machine), 1);
    excludedMachines++;
  }
  return unplaced;
}

/**
 * Reports whether the round has visited as many machines to place tasks as one round
 * may. The other batches are placed as machines send heartbeats, or by later rounds.
 */
function hasSearchedEnough(round: PlacementRound): boolean {
  return round.placementVisits >= MAX_VISITS_PER_SEARCH;
}

/**
 * Reserves and preempts for a batch with `unplaced` tasks that found no machine,
 * unless they are unplaced because of the quota or the limits of the round.
 */
function reserveAndPreempt(round: PlacementRound, batch: Batch, unplaced: number): void {
  const { cluster, maxStarts, unconfirmedUsage, started } = round;
  cluster.unplacedBatches.add(batch);
  // Otherwise the quota that smaller tasks of the team free would always go to other small tasks.
  reserveQuota(cluster, batch);
  if (started.length >= maxStarts || hasSearchedEnough(round)) return;
  if (remainingQuotaSlots(cluster, batch, unconfirmedUsage) === 0) return;
  if (batch.starving) reserveForStarving(round, batch);
  preemptFor(round, batch, unplaced);
}

/**
 * Plans and applies preemptions for the batch. When the round has visited enough,
 * they are left to the next round, which goes on with the batches not planned for.
 */
function preemptFor(round: PlacementRound, batch: Batch, unplaced: number): void {
  const { cluster, preemption, preemptionPass } = round;
  if (!preemption.mayPreempt(batch) || preemptionPass.hasPlanned(batch)) return;
  if (preemption.visits >= MAX_VISITS_PER_SEARCH) {
    round.preemptionUnfinished = true;
    return;
  }
  preemptionPass.recordPlanned(batch);
  applyPreemption(cluster, batch, preemption.plan(batch, unplaced));
}

/** Reserves a machine for the batch and excludes it from the rest of this round. */
function reserveForStarving(round: PlacementRound, batch: Batch): void {
  const { machines, candidates } = round;
  if (round.machineReservations >= machines.length * RESERVED_MACHINES_SHARE) return;
  if (round.reservationVisits >= MAX_VISITS_PER_SEARCH) return;
  round.machineReservations++;
  const reserved = round.findings.machineToReserve(batch.kind, () => {
    round.reservationVisits += machines.length;
    return findMachineToReserve(batch, machines);
  });
  if (!reserved) return;
  reserved.reservedForJob = batch.jobs[0]?.spec.id ?? null;
  const index = candidates.indexOf(reserved);
  if (index >= 0) candidates.splice(index, 1);
}
