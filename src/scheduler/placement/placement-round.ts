import { EPSILON } from '../../model/model.js';
import type { Use } from '../../model/policy.js';
import type { Cluster } from '../state/cluster-state.js';
import type { Job } from '../state/job.js';
import { type Binding, fitsType, type Machine } from '../state/machine.js';
import { allowed, mayUse, open, useReservation } from './feasibility.js';
import { preempt, type Room } from './preemption.js';
import { type Batch, isReady, readyBatches } from './ready-queue.js';

/** About this part of the machines may be held free for such tasks at a time. */
const HELD_SHARE = 0.1;

const NOTHING: Use = { cpus: 0, gpus: 0 };

/** How many more of the job's tasks may be put in the zone beside those on machines now. */
function zoneRoom(job: Job, zone: string): number {
  const { oneZone, spread, tasks } = job.spec;
  if (oneZone) for (const [z, n] of job.zones) if (n > 0 && z !== zone) return 0;
  if (!spread) return tasks;
  return Math.ceil(tasks / 2) - (job.zones.get(zone) ?? 0);
}

/** How many more tasks of the batch the team's limit allows, doubt and what is kept for others counted in. */
function teamRoom(cluster: Cluster, batch: Batch, doubt: Use): number {
  const { spec } = batch;
  const team = cluster.teams.get(spec.team);
  if (!team) return 0;
  const use = cluster.teamUse.get(spec.team) ?? NOTHING;
  const kept = batch.aged ? NOTHING : (cluster.keptRoom.get(spec.team) ?? NOTHING);
  const cpus = team.cpusMax - use.cpus - doubt.cpus - kept.cpus + EPSILON;
  const gpus = team.gpusMax - use.gpus - doubt.gpus - kept.gpus + EPSILON;
  let n = 1e9;
  if (team.cpusMax > 0 && spec.cpus > 0) n = Math.min(n, Math.floor(cpus / spec.cpus));
  if (team.gpusMax > 0 && spec.gpus > 0) n = Math.min(n, Math.floor(gpus / spec.gpus));
  return Math.max(0, n);
}

export interface RoundResult {
  started: Binding[];
  /** Tasks that found no machine. */
  unplaced: number;
}

/** What stays the same throughout a round, and what it has started so far. */
interface RoundState {
  readonly cluster: Cluster;
  readonly now: number;
  readonly limit: number;
  readonly doubt: Use;
  /** The price of the dearest machine. */
  readonly dearest: number;
  readonly started: Binding[];
}

/**
 * One round of decisions: batches in order, each to the feasible machine of
 * the highest score until it is placed or nothing takes it. `limit` bounds the
 * starts; the caller widens it with the load.
 */
export function round(cluster: Cluster, limit: number, now: number): RoundResult {
  const started: Binding[] = [];
  const batches = readyBatches(cluster, now);
  const doubt = cluster.doubt();
  const openMachines = [...cluster.machines.values()].filter((m) => open(cluster, m, now));
  // Most machines are full under load, and none of them needs to be scored for each batch.
  const roomy = openMachines.filter((m) => m.hasRoom);
  dropReservations(openMachines, now);
  const state = { cluster, now, limit, doubt, dearest: dearestPrice(cluster), started };
  let unplaced = 0;
  let held = 0;
  cluster.waiting = [];
  cluster.keptRoom.clear();
  const promised = new Map<Machine, Room>();
  for (const batch of batches) {
    const left = placeBatch(state, batch, roomy);
    unplaced += left;
    if (left === 0) continue;
    cluster.waiting.push(batch);
    // Room that smaller tasks of the team free piece by piece would go to the next small ones for ever.
    const { team, cpus, gpus } = batch.spec;
    if (batch.aged && !cluster.keptRoom.has(team)) cluster.keptRoom.set(team, { cpus, gpus });
    if (started.length >= limit || teamRoom(cluster, batch, doubt) === 0) continue;
    if (batch.aged && held++ < openMachines.length * HELD_SHARE)
      reserveMachine(batch, roomy, openMachines);
    preempt(cluster, batch, left, openMachines, promised, now);
  }
  return { started, unplaced };
}

/** Those of large tasks are made anew in each round; those of preempting ones stand until their time is over. */
function dropReservations(machines: Machine[], now: number): void {
  for (const machine of machines) {
    machine.heldFor = null;
    if (machine.reservation && machine.reservation.until <= now) machine.reservation = null;
  }
}

function dearestPrice(cluster: Cluster): number {
  let dearest = 0;
  for (const type of cluster.types.values())
    dearest = Math.max(dearest, type.price, type.spotPrice);
  return dearest;
}

/** Starts what it can of the batch; returns for how many of its tasks no machine was found. */
function placeBatch(state: RoundState, batch: Batch, roomy: Machine[]): number {
  const { cluster, now, limit, doubt, dearest, started } = state;
  let left = batch.count;
  const candidates = roomy.filter(
    (machine) => allowed(machine, batch.spec) && mayUse(machine, batch),
  );
  while (left > 0 && started.length < limit) {
    const room = teamRoom(cluster, batch, doubt);
    if (room === 0) break;
    const machine = best(cluster, batch, candidates, left, dearest);
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
  let held: Machine | null = null;
  for (const m of machines)
    if (m.type && allowed(m, batch.spec) && fitsType(m.type, batch.spec) > 0)
      if (!held || m.fill < held.fill) held = m;
  if (!held) return;
  held.heldFor = batch.jobs[0]?.spec.id ?? null;
  const at = roomy.indexOf(held);
  if (at >= 0) roomy.splice(at, 1);
}

/**
 * Fills the room that a machine's own report has freed with what the last
 * round left waiting, in that round's order: between rounds nothing is sorted
 * or scored, and the starts go with the report's answer.
 */
export function fill(cluster: Cluster, m: Machine, limit: number, now: number): Binding[] {
  const started: Binding[] = [];
  if (cluster.waiting.length === 0 || !m.hasRoom || !open(cluster, m, now)) return started;
  const doubt = cluster.doubt();
  for (const batch of cluster.waiting) {
    if (started.length >= limit || !m.hasRoom) break;
    if (!mayFill(m, batch)) continue;
    const most = batch.aged ? 1 : limit;
    const room = Math.min(teamRoom(cluster, batch, doubt), most, limit - started.length);
    if (room === 0) continue;
    const jobs = batch.jobs.filter((job) => isReady(cluster, job, now));
    if (jobs.length > 0) startTasks(cluster, { ...batch, jobs }, m, room, started, now);
  }
  return started;
}

/** The batch may take what has come free on the machine without a round. */
function mayFill(machine: Machine, batch: Batch): boolean {
  const first = batch.jobs[0];
  if (!allowed(machine, batch.spec) || machine.room(batch.spec) === 0) return false;
  if (machine.heldFor !== null && machine.heldFor !== first?.spec.id) return false;
  return mayUse(machine, batch) && !(batch.aged && first?.begun);
}

function best(
  cluster: Cluster,
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
  for (const m of candidates) {
    const room = m.room(batch.spec);
    if (room === 0) continue;
    const score =
      (throughput * Math.min(room, left)) / left -
      (dearest > 0 ? (cost * m.rate) / dearest : 0) +
      (m.images.has(batch.spec.image) ? locality : 0) -
      (m.surplus ? surplus : 0);
    if (score > top + EPSILON || (score > top - EPSILON && found && m.fill > found.fill)) {
      top = Math.max(top, score);
      found = m;
    }
  }
  return found;
}

/** Starts up to `want` tasks of the batch on the machine, by arrival of their jobs. */
function startTasks(
  cluster: Cluster,
  batch: Batch,
  m: Machine,
  want: number,
  started: Binding[],
  now: number,
): number {
  let n = 0;
  for (const job of batch.jobs) {
    // A job that failed here goes elsewhere while there is an elsewhere.
    if (job.failedOn.has(m.id) && job.failedOn.size < cluster.policy.faultyMachines) continue;
    let room = Math.min(want - n, m.room(job.spec), zoneRoom(job, m.zone));
    while (room > 0 && job.ready > 0) {
      const index = job.next();
      if (index === null) break;
      const b = cluster.assign(job, index, m, now);
      b.spared = batch.aged;
      useReservation(m, batch);
      started.push(b);
      n++;
      room--;
    }
    if (n >= want) break;
  }
  return n;
}
