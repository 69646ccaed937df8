import type { Cluster, Use } from './cluster.js';
import type { Job } from './job.js';
import { type Binding, fitsType, type Machine } from './machine.js';
import { EPSILON, type JobSpec } from './model.js';

/** A part of the aim on waiting, or on guarantees, that passes before others are stopped. */
const RANK_PATIENCE = 0.2;
const GUARANTEE_PATIENCE = 0.6;

/** Report intervals within which stopped tasks are gone and what they were stopped for is placed. */
const RESERVED_REPORTS = 3;

/** Every accepted job, the largest ones too, begins within this, whatever fresher work could still meet (protocol). */
const BEGIN_WITHIN_MS = 240_000;
/** From this part of it on a job that has not begun goes first with one task. */
const AGED = 0.5;
/** Below this step of pressure no aim is near enough to matter. */
const LEAST_PRESS = -50;
/** About this part of the machines may be held free for such tasks at a time. */
const HELD_SHARE = 0.1;

/** Ready tasks of like image and request, in the order of the pool. */
export interface Batch {
  spec: JobSpec;
  /** The rank of its jobs, which may be that of a job that needs them. */
  rank: number;
  guaranteed: boolean;
  /** What waiting costs its jobs, in steps of a factor of two. */
  press: number;
  /** The first task of a job that has waited for too long. */
  aged: boolean;
  jobs: Job[];
  count: number;
}

/**
 * Ready: accepted, not over, not held back, and every job upstream durably
 * done. A task of an inherited job that shows on no confirmed
 * machine may run on an unconfirmed one, so it waits for the last of those
 * that its job allows.
 */
export function isReady(cluster: Cluster, job: Job, now: number): boolean {
  return wantsRoom(job, now) && !(job.inherited && cluster.mayBeHeld(job.spec));
}

/** The same but for what an unconfirmed machine may hold: it will need room all the same. */
export function wantsRoom(job: Job, now: number): boolean {
  if (job.delayed > 0) job.wake(now);
  return job.ready > 0 && !job.over && !job.isWaiting && job.heldUntil <= now;
}

/**
 * Marks new jobs that fit their team's guarantee together with the team's
 * earlier unfinished ones. What an earlier leader saw of an inherited job is
 * not known: past the aim on guaranteed work it counts as not having fitted.
 * A job that waits for others holds no part of it until it may run.
 */
function markGuaranteed(cluster: Cluster, byArrival: Job[], now: number): void {
  const sums = new Map<string, Use>();
  for (const job of byArrival) {
    if (job.isWaiting) continue;
    const { team, cpus, gpus, tasks } = job.spec;
    const sum = sums.get(team) ?? { cpus: 0, gpus: 0 };
    sum.cpus += cpus * tasks;
    sum.gpus += gpus * tasks;
    sums.set(team, sum);
    if (job.guaranteed !== null) continue;
    const t = cluster.teams.get(team);
    const late =
      job.inherited &&
      cluster.aims.guaranteeS !== null &&
      cluster.ageMs(job, now) > cluster.aims.guaranteeS * 1000;
    job.guaranteed =
      !late && t !== undefined && sum.cpus <= t.cpus + EPSILON && sum.gpus <= t.gpus + EPSILON;
  }
}

function likeKey(job: Job, press: number): string {
  const s = job.spec;
  return `${press}|${job.rank}|${job.guaranteed}|${s.team}|${s.image}|${s.cpus}|${s.gpus}|${s.memoryGb}|${s.types}|${s.zone}|${s.spot}|${s.oneZone || s.spread ? s.id : ''}`;
}

/**
 * One pooled ready list: rank first, then work within its team's guarantee,
 * then what waiting is about to cost. When more is asked than can be done,
 * strict arrival would make everybody late, and so would letting only what
 * has missed nothing pass: work that waited a little would miss every later
 * aim as well. Jobs that can't meet any aim any more come last, the one with
 * the least left first. Nothing starves by that: a job that has not begun for
 * long goes before everything with one task.
 */
function readyBatches(cluster: Cluster, now: number): Batch[] {
  const byArrival = [...cluster.jobs.values()].sort((a, b) => a.version - b.version);
  markGuaranteed(cluster, byArrival, now);
  const ready: { job: Job; pressure: number; work: number }[] = [];
  const aged: Batch[] = [];
  for (const job of byArrival) {
    if (!isReady(cluster, job, now)) continue;
    const pressure = cluster.pressure(job, now);
    const work = job.ready * job.spec.cpus * cluster.estimateS(job.spec);
    if (!job.begun && cluster.ageMs(job, now) > BEGIN_WITHIN_MS * AGED)
      aged.push(batchOf(job, LEAST_PRESS, true));
    else ready.push({ job, pressure, work });
  }
  ready.sort((a, b) => b.pressure - a.pressure || a.work - b.work);
  const batches = new Map<string, Batch>();
  for (const { job, pressure } of ready) {
    const press = Math.max(LEAST_PRESS, Math.ceil(Math.log2(pressure)));
    const key = likeKey(job, press);
    const batch = batches.get(key);
    if (batch) {
      batch.jobs.push(job);
      batch.count += job.ready;
    } else batches.set(key, batchOf(job, press, false));
  }
  // The sort is stable: beyond this, the order of the jobs decides.
  const rest = [...batches.values()].sort(
    (a, b) => a.rank - b.rank || Number(b.guaranteed) - Number(a.guaranteed) || b.press - a.press,
  );
  return [...aged, ...rest];
}

function batchOf(job: Job, press: number, aged: boolean): Batch {
  return {
    spec: job.spec,
    rank: job.rank,
    guaranteed: job.guaranteed === true,
    press,
    aged,
    jobs: [job],
    count: aged ? 1 : job.ready,
  };
}

/** Takes new tasks at all. */
export function open(cluster: Cluster, m: Machine, now: number): boolean {
  return (
    m.confirmed &&
    m.rostered &&
    m.type !== null &&
    m.drain === null &&
    m.deafSince === null &&
    !m.strays &&
    m.refusedUntil <= now &&
    now - m.lastReport < cluster.timing.reportMs * 2
  );
}

const NOTHING: Use = { cpus: 0, gpus: 0 };

/** What the rules of a job look at in a machine. */
export type Placed = Pick<Machine, 'typeName' | 'zone' | 'spot'>;

export function allowed(m: Placed, spec: JobSpec): boolean {
  return (
    (spec.types === null || spec.types.includes(m.typeName)) &&
    (spec.zone === null || spec.zone === m.zone) &&
    (spec.spot || !m.spot)
  );
}

/**
 * Whether the machine's room is free for the batch. Tasks are stopped one
 * after the other, and what they free piece by piece is enough for the small
 * ones that were stopped long before it is enough for a large one: they would
 * take it again and be stopped again, for as long as the large one waits.
 */
function mayUse(m: Machine, batch: Batch): boolean {
  const { reservation } = m;
  if (!reservation || batch.aged || batch.rank < reservation.rank) return true;
  return batch.rank === reservation.rank && (batch.guaranteed || !reservation.guaranteed);
}

/** Keeps room that is being made on the machine for one more task of the batch. */
function reserve(m: Machine, batch: Batch, until: number): void {
  const { rank, guaranteed } = batch;
  const old = m.reservation;
  if (old && old.rank === rank && old.guaranteed === guaranteed) {
    old.tasks++;
    old.until = until;
  } else m.reservation = { rank, guaranteed, tasks: 1, until };
}

/** A task was placed on the machine: of the same rank, it is what room was reserved for. */
function useReservation(m: Machine, batch: Batch): void {
  const { reservation } = m;
  if (!reservation || batch.rank !== reservation.rank || !mayUse(m, batch)) return;
  if (--reservation.tasks <= 0) m.reservation = null;
}

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
  for (const m of openMachines) {
    m.heldFor = null;
    if (m.reservation && m.reservation.until <= now) m.reservation = null;
  }
  let dearest = 0;
  for (const t of cluster.types.values()) dearest = Math.max(dearest, t.price, t.spotPrice);
  let unplaced = 0;
  let held = 0;
  cluster.waiting = [];
  cluster.keptRoom.clear();
  const promised = new Map<Machine, Room>();
  for (const batch of batches) {
    let left = batch.count;
    const candidates = roomy.filter((m) => allowed(m, batch.spec) && mayUse(m, batch));
    while (left > 0 && started.length < limit) {
      const room = teamRoom(cluster, batch, doubt);
      if (room === 0) break;
      const m = best(cluster, batch, candidates, left, dearest);
      if (!m) break;
      const n = put(cluster, batch, m, Math.min(left, room, limit - started.length), started, now);
      left -= n;
      // The zone rules or earlier failures kept every job of the batch off this machine.
      if (n === 0) candidates.splice(candidates.indexOf(m), 1);
    }
    unplaced += left;
    if (left === 0) continue;
    cluster.waiting.push(batch);
    // Room that smaller tasks of the team free piece by piece would go to the next small ones for ever.
    const { team, cpus, gpus } = batch.spec;
    if (batch.aged && !cluster.keptRoom.has(team)) cluster.keptRoom.set(team, { cpus, gpus });
    if (started.length >= limit || teamRoom(cluster, batch, doubt) === 0) continue;
    if (batch.aged && held++ < openMachines.length * HELD_SHARE) hold(batch, roomy, openMachines);
    preempt(cluster, batch, left, openMachines, promised, now);
  }
  return { started, unplaced };
}

/**
 * A task too large for the gaps that smaller ones leave would wait for ever:
 * the machine that is closest to having room for it takes nothing else until
 * it has.
 */
function hold(batch: Batch, roomy: Machine[], machines: Machine[]): void {
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
    if (!allowed(m, batch.spec) || m.room(batch.spec) === 0) continue;
    if (m.heldFor !== null && m.heldFor !== batch.jobs[0]?.spec.id) continue;
    if (!mayUse(m, batch)) continue;
    if (batch.aged && batch.jobs[0]?.begun) continue;
    const most = batch.aged ? 1 : limit;
    const room = Math.min(teamRoom(cluster, batch, doubt), most, limit - started.length);
    if (room === 0) continue;
    const jobs = batch.jobs.filter((job) => isReady(cluster, job, now));
    if (jobs.length > 0) put(cluster, { ...batch, jobs }, m, room, started, now);
  }
  return started;
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
function put(
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

/**
 * How long a batch waits for room before others are stopped for it: a part of
 * what its aims allow. Work of its own rank, which only a guarantee may stop,
 * is given longer: most room comes free by itself.
 */
function patienceMs(cluster: Cluster, spec: JobSpec, sameRank: boolean): number {
  if (sameRank && cluster.aims.guaranteeS !== null)
    return cluster.aims.guaranteeS * 1000 * GUARANTEE_PATIENCE;
  const aim = cluster.waitAimS(spec.jobClass);
  return aim !== null ? aim * 1000 * RANK_PATIENCE : cluster.timing.reportMs * 2;
}

interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

function covers(room: Room, spec: JobSpec): boolean {
  return (
    room.cpus + EPSILON >= spec.cpus &&
    room.gpus + EPSILON >= spec.gpus &&
    room.memoryGb + EPSILON >= spec.memoryGb
  );
}

function addRoom(room: Room, spec: JobSpec, sign: number): void {
  room.cpus += sign * spec.cpus;
  room.gpus += sign * spec.gpus;
  room.memoryGb += sign * spec.memoryGb;
}

/**
 * Makes room for a batch that found none: work of lower rank is stopped, or,
 * for a team within its guarantee, what another team runs beyond its own.
 * Room that is already being made is counted first, then machines where the
 * least is lost come first.
 */
function preempt(
  cluster: Cluster,
  batch: Batch,
  left: number,
  machines: Machine[],
  promised: Map<Machine, Room>,
  now: number,
): void {
  const { spec } = batch;
  const age = batch.jobs[0] ? cluster.ageMs(batch.jobs[0], now) : 0;
  const lower = age >= patienceMs(cluster, spec, false);
  const same = batch.guaranteed && age >= patienceMs(cluster, spec, true);
  if (!lower && !same) return;
  let need = left;
  const offers: Offer[] = [];
  for (const m of machines) {
    const t = m.type;
    if (!t || !allowed(m, spec)) continue;
    const taken = promised.get(m) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    promised.set(m, taken);
    const free = {
      cpus: t.cpus - m.cpus - taken.cpus,
      gpus: t.gpus - m.gpus - taken.gpus,
      memoryGb: t.memoryGb - m.memoryGb - taken.memoryGb,
    };
    const victims: Victim[] = [];
    for (const b of m.bindings.values()) {
      if (b.state === 'exited' || b.state === 'assigned') continue;
      if (b.stop) addRoom(free, b.job.spec, 1);
      else if (mayStop(cluster, batch, b, lower, same))
        victims.push({ binding: b, loss: lossS(b, now) * Math.max(b.job.spec.cpus, EPSILON) });
    }
    while (need > 0 && covers(free, spec)) {
      need--;
      addRoom(free, spec, -1);
      addRoom(taken, spec, 1);
    }
    if (victims.length === 0) continue;
    victims.sort((a, b) => a.loss - b.loss);
    offers.push({ machine: m, free, victims });
  }
  offers.sort((a, b) => (a.victims[0]?.loss ?? 0) - (b.victims[0]?.loss ?? 0));
  for (const offer of offers) {
    if (need <= 0) return;
    need -= makeRoom(cluster, batch, offer, need, promised, now);
  }
}

/** What may be stopped on a machine, the least loss first, and the room that is there without it. */
interface Offer {
  machine: Machine;
  free: Room;
  victims: Victim[];
}

interface Victim {
  binding: Binding;
  /** CPU seconds of work that would be lost. */
  loss: number;
}

/**
 * Stops work on one machine for up to `need` tasks of the batch; returns for
 * how many. Nothing is stopped unless a whole task gets room by it: other
 * work would only take that room again and be stopped for nothing once more.
 */
function makeRoom(
  cluster: Cluster,
  batch: Batch,
  offer: Offer,
  need: number,
  promised: Map<Machine, Room>,
  now: number,
): number {
  const { spec } = batch;
  const { machine, free } = offer;
  let made = 0;
  let chosen: Victim[] = [];
  for (const victim of offer.victims) {
    if (made >= need) break;
    chosen.push(victim);
    addRoom(free, victim.binding.job.spec, 1);
    if (!covers(free, spec)) continue;
    const saveMs = stopAll(cluster, batch, machine, chosen);
    const until = now + cluster.timing.reportMs * RESERVED_REPORTS + saveMs;
    chosen = [];
    while (made < need && covers(free, spec)) {
      made++;
      addRoom(free, spec, -1);
      const taken = promised.get(machine);
      if (taken) addRoom(taken, spec, 1);
      reserve(machine, batch, until);
    }
  }
  return made;
}

/** Stops the tasks; returns how long the longest of them takes to save, in milliseconds. */
function stopAll(cluster: Cluster, batch: Batch, machine: Machine, victims: Victim[]): number {
  let longestSaveS = 0;
  for (const { binding, loss } of victims) {
    const { id, checkpointS, saveS } = binding.job.spec;
    const graceS = checkpointS > 0 ? saveS : 0;
    longestSaveS = Math.max(longestSaveS, graceS);
    cluster.stop(binding, graceS);
    cluster.note('preempted', {
      job: id,
      task: binding.index,
      machine: machine.id,
      for: batch.jobs[0]?.spec.id,
      lostCpuSeconds: Math.round(loss),
    });
  }
  return longestSaveS * 1000;
}

function mayStop(
  cluster: Cluster,
  batch: Batch,
  b: Binding,
  lower: boolean,
  same: boolean,
): boolean {
  const { spec } = b.job;
  if (b.spared) return false;
  if (b.job.rank > batch.rank) return lower;
  if (!same || spec.team === batch.spec.team || b.job.guaranteed) return false;
  const team = cluster.teams.get(spec.team);
  const use = cluster.teamUse.get(spec.team);
  return (
    team !== undefined &&
    use !== undefined &&
    (use.cpus - spec.cpus >= team.cpus - EPSILON ||
      (team.gpus > 0 && use.gpus - spec.gpus >= team.gpus - EPSILON))
  );
}

/** Seconds of work that stopping the task now would lose. */
function lossS(b: Binding, now: number): number {
  if (b.runningSince === null) return 0;
  const ran = (now - b.runningSince) / 1000;
  const { checkpointS, saveS } = b.job.spec;
  return checkpointS > 0 ? saveS : ran;
}
