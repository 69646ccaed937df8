import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Job } from '../state/job.js';
import { type Machine, slotsOnType, type TaskAttempt } from '../state/machine.js';
import { acceptsTasks, consumeReservation, respectsReservation } from './feasibility.js';
import { type FreeCapacity, preempt } from './preemption.js';
import { isReady, readyBatches } from './ready-queue.js';

/** About this part of the machines may be held free for such tasks at a time. */
const RESERVED_MACHINES_SHARE = 0.1;

const NO_USAGE: ResourceUsage = { cpus: 0, gpus: 0 };

/** How many more of the job's tasks may be put in the zone beside those on machines now. */
function remainingZoneSlots(job: Job, zone: string): number {
  const { singleZone: oneZone, zoneAntiAffinity: spread, tasks } = job.spec;
  if (oneZone) for (const [z, n] of job.attemptsByZone) if (n > 0 && z !== zone) return 0;
  if (!spread) return tasks;
  return Math.ceil(tasks / 2) - (job.attemptsByZone.get(zone) ?? 0);
}

/** How many more tasks of the batch the team's limit allows, doubt and what is kept for others counted in. */
function remainingQuotaSlots(
  cluster: ClusterState,
  batch: Batch,
  unconfirmed: ResourceUsage,
): number {
  const { spec } = batch;
  const team = cluster.quotas.get(spec.team);
  if (!team) return 0;
  const use = cluster.quotaUsage.get(spec.team) ?? NO_USAGE;
  const kept = batch.starving ? NO_USAGE : (cluster.reservedQuota.get(spec.team) ?? NO_USAGE);
  const cpus = team.maxCpus - use.cpus - unconfirmed.cpus - kept.cpus + EPSILON;
  const gpus = team.maxGpus - use.gpus - unconfirmed.gpus - kept.gpus + EPSILON;
  let n = 1e9;
  if (team.maxCpus > 0 && spec.cpus > 0) n = Math.min(n, Math.floor(cpus / spec.cpus));
  if (team.maxGpus > 0 && spec.gpus > 0) n = Math.min(n, Math.floor(gpus / spec.gpus));
  return Math.max(0, n);
}

export interface PlacementResult {
  started: TaskAttempt[];
  /** Tasks that found no machine. */
  unplaced: number;
}

/** What stays the same throughout a round, and what it has started so far. */
interface RoundState {
  readonly cluster: ClusterState;
  readonly now: number;
  readonly limit: number;
  readonly doubt: ResourceUsage;
  /** The price of the dearest machine. */
  readonly dearest: number;
  readonly started: TaskAttempt[];
}

/**
 * One round of decisions: batches in order, each to the feasible machine of
 * the highest score until it is placed or nothing takes it. `limit` bounds the
 * starts; the caller widens it with the load.
 */
export function runPlacementRound(
  cluster: ClusterState,
  limit: number,
  now: number,
): PlacementResult {
  const started: TaskAttempt[] = [];
  const batches = readyBatches(cluster, now);
  const unconfirmed = cluster.unconfirmedUsage();
  const openMachines = [...cluster.machines.values()].filter((machine) =>
    acceptsTasks(cluster, machine, now),
  );
  // Most machines are full under load, and none of them needs to be scored for each batch.
  const roomy = openMachines.filter((machine) => machine.hasFreeCapacity);
  dropReservations(openMachines, now);
  const state = {
    cluster,
    now,
    limit,
    doubt: unconfirmed,
    dearest: dearestPrice(cluster),
    started,
  };
  let unplaced = 0;
  let held = 0;
  cluster.unplacedBatches = [];
  cluster.reservedQuota.clear();
  const promised = new Map<Machine, FreeCapacity>();
  for (const batch of batches) {
    const left = placeBatch(state, batch, roomy);
    unplaced += left;
    if (left === 0) continue;
    cluster.unplacedBatches.push(batch);
    // Room that smaller tasks of the team free piece by piece would go to the next small ones for ever.
    const { team, cpus, gpus } = batch.spec;
    if (batch.starving && !cluster.reservedQuota.has(team))
      cluster.reservedQuota.set(team, { cpus, gpus });
    if (started.length >= limit || remainingQuotaSlots(cluster, batch, unconfirmed) === 0) continue;
    if (batch.starving && held++ < openMachines.length * RESERVED_MACHINES_SHARE)
      reserveMachine(batch, roomy, openMachines);
    preempt(cluster, batch, left, openMachines, promised, now);
  }
  return { started, unplaced };
}

/** Those of large tasks are made anew in each round; those of preempting ones stand until their time is over. */
function dropReservations(machines: Machine[], now: number): void {
  for (const machine of machines) {
    machine.reservedForJob = null;
    if (machine.reservation && machine.reservation.expiresAt <= now) machine.reservation = null;
  }
}

function dearestPrice(cluster: ClusterState): number {
  let dearest = 0;
  for (const type of cluster.machineTypes.values())
    dearest = Math.max(dearest, type.price, type.spotPrice);
  return dearest;
}

/** Starts what it can of the batch; returns for how many of its tasks no machine was found. */
function placeBatch(state: RoundState, batch: Batch, roomy: Machine[]): number {
  const { cluster, now, limit, doubt, dearest, started } = state;
  let left = batch.count;
  const candidates = roomy.filter(
    (machine) => satisfiesConstraints(machine, batch.spec) && respectsReservation(machine, batch),
  );
  while (left > 0 && started.length < limit) {
    const room = remainingQuotaSlots(cluster, batch, doubt);
    if (room === 0) break;
    const machine = highestScoring(cluster, batch, candidates, left, dearest);
    if (!machine) break;
    const want = Math.min(left, room, limit - started.length);
    const count = startTasks(cluster, batch, machine, want, started, now);
    left -= count;
    // The zone rules or earlier failures kept every job of the batch off this machine.
    if (count === 0) candidates.splice(candidates.indexOf(machine), 1);
  }
  return left;
}

/**
 * A task too large for the gaps that smaller ones leave would wait for ever:
 * the machine that is closest to having room for it takes nothing else until
 * it has.
 */
function reserveMachine(batch: Batch, roomy: Machine[], machines: Machine[]): void {
  let reserved: Machine | null = null;
  for (const machine of machines)
    if (
      machine.type &&
      satisfiesConstraints(machine, batch.spec) &&
      slotsOnType(machine.type, batch.spec) > 0
    )
      if (!reserved || machine.utilization < reserved.utilization) reserved = machine;
  if (!reserved) return;
  reserved.reservedForJob = batch.jobs[0]?.spec.id ?? null;
  const at = roomy.indexOf(reserved);
  if (at >= 0) roomy.splice(at, 1);
}

/**
 * Fills the room that a machine's own report has freed with what the last
 * round left waiting, in that round's order: between rounds nothing is sorted
 * or scored, and the starts go with the report's answer.
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
  const unconfirmed = cluster.unconfirmedUsage();
  for (const batch of cluster.unplacedBatches) {
    if (started.length >= limit || !machine.hasFreeCapacity) break;
    if (!mayFill(machine, batch)) continue;
    const most = batch.starving ? 1 : limit;
    const room = Math.min(
      remainingQuotaSlots(cluster, batch, unconfirmed),
      most,
      limit - started.length,
    );
    if (room === 0) continue;
    const jobs = batch.jobs.filter((job) => isReady(cluster, job, now));
    if (jobs.length > 0) startTasks(cluster, { ...batch, jobs }, machine, room, started, now);
  }
  return started;
}

/** The batch may take what has come free on the machine without a round. */
function mayFill(machine: Machine, batch: Batch): boolean {
  const first = batch.jobs[0];
  if (!satisfiesConstraints(machine, batch.spec) || machine.freeSlots(batch.spec) === 0)
    return false;
  if (machine.reservedForJob !== null && machine.reservedForJob !== first?.spec.id) return false;
  return respectsReservation(machine, batch) && !(batch.starving && first?.started);
}

function highestScoring(
  cluster: ClusterState,
  batch: Batch,
  candidates: Machine[],
  left: number,
  dearest: number,
): Machine | null {
  const { throughput, cost, locality } = cluster.policy.weights;
  // More than all the rest together can be worth.
  const surplus = throughput + cost + locality + 1;
  let found: Machine | null = null;
  let top = Number.NEGATIVE_INFINITY;
  for (const machine of candidates) {
    const room = machine.freeSlots(batch.spec);
    if (room === 0) continue;
    const score =
      (throughput * Math.min(room, left)) / left -
      (dearest > 0 ? (cost * machine.price) / dearest : 0) +
      (machine.images.has(batch.spec.image) ? locality : 0) -
      (machine.scaleInCandidate ? surplus : 0);
    if (
      score > top + EPSILON ||
      (score > top - EPSILON && found && machine.utilization > found.utilization)
    ) {
      top = Math.max(top, score);
      found = machine;
    }
  }
  return found;
}

/** Starts up to `want` tasks of the batch on the machine, by arrival of their jobs. */
function startTasks(
  cluster: ClusterState,
  batch: Batch,
  machine: Machine,
  want: number,
  started: TaskAttempt[],
  now: number,
): number {
  let n = 0;
  for (const job of batch.jobs) {
    // A job that failed here goes elsewhere while there is an elsewhere.
    if (
      job.failedMachines.has(machine.id) &&
      job.failedMachines.size < cluster.policy.failingJobMachines
    )
      continue;
    let room = Math.min(
      want - n,
      machine.freeSlots(job.spec),
      remainingZoneSlots(job, machine.zone),
    );
    while (room > 0 && job.readyCount > 0) {
      const index = job.takeReadyTask();
      if (index === null) break;
      const attempt = cluster.assign(job, index, machine, now);
      attempt.exemptFromPreemption = batch.starving;
      consumeReservation(machine, batch);
      started.push(attempt);
      n++;
      room--;
    }
    if (n >= want) break;
  }
  return n;
}
