import { type JobSpec, type MachineType, typeFits } from '../../model/model.js';
import { wantsRoom } from '../placement/ready-queue.js';
import type { Cluster } from '../state/cluster-state.js';
import { fitsType, kindKey, type Machine } from '../state/machine.js';
import { type MachineReturn, Returns } from './scale-in.js';

export interface RentPlan {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  why: Record<string, unknown>;
}

/** What arrives of one kind of work, smoothed over a few boot times. */
export interface Load {
  spec: JobSpec;
  /** Tasks that run at once on average: task-seconds arriving each second. */
  mean: number;
  /** The variance of that number: arrays arrive whole. */
  variance: number;
  /** What a task of this kind takes on average. */
  shape: Shape;
  /** How long the tasks that run at a time hold their room on average, in seconds. */
  holdS: number;
  /** Mean milliseconds between arrivals; null until there were two. */
  gapMs: number | null;
  /** Time since the last arrival; kept as a span, since clocks differ between leaders. */
  quietMs: number;
}

interface Shape {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** After this many mean gaps without an arrival a stream may have stopped: chance alone does so once in twelve; after twice as many it has. */
const DOUBT_GAPS = 2.5;

/** Boots usually take up to one and a half times the type's time. */
const LATE_BOOT = 2;

/** The protocol's bound on machines in one rental. */
const RENT_LIMIT = 50;

/** A need of no more machines than this is not worth dividing between zones. */
const RENT_SHARE = 4;

/** The pause after a refusal doubles this often. */
const MOST_DOUBLINGS = 2;

interface Refusal {
  until: number;
  times: number;
}

interface Supply {
  machine: Machine | null;
  type: MachineType;
  zone: string;
  spot: boolean;
  /** How full the machine is: a sort that asked for it at each comparison took most of a plan's time. */
  fill: number;
  /** Part of the machine that no need is laid on yet. */
  free: number;
}

interface Need {
  spec: JobSpec;
  shape: Shape;
  /** Tasks to be run at once. */
  slots: number;
  /** Work that is ready now. */
  backlog: number;
}

/** Work of one kind that is there. */
interface Work {
  spec: JobSpec;
  shape: Shape;
  /** Tasks that may be started now. */
  ready: number;
  /** For how long all of it holds its room. */
  seconds: number;
}

/** What may be rented. */
interface Option {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** Of one task. */
  price: number;
  /** Machines of the kind that there are. */
  here: number;
}

/**
 * Rents by unplaced demand. For each kind of work the tasks to be run at once
 * are estimated: the mean of what arrives, a margin for arrays arriving whole
 * (by the share that the aims ask for), and what it takes to work off a
 * backlog beyond the usual. These are laid over the machines that are up or
 * booting; what finds no room is rented for, and a machine on which nothing
 * was laid goes back once it has been idle for a while.
 */
export class Renting {
  private loads = new Map<string, Load>();
  private readonly refusals = new Map<string, Refusal>();
  private lastDecay: number | null = null;
  /** Machines of each type, zone and kind when the plan was begun. */
  private readonly machineCounts = new Map<string, number>();

  private readonly surplusMachines: Returns;

  constructor(private readonly cluster: Cluster) {
    this.surplusMachines = new Returns(cluster);
  }

  /** A job has arrived: its work counts towards what is expected. */
  arrived(spec: JobSpec): void {
    const load: Load = this.loads.get(kindOf(spec)) ?? {
      spec,
      mean: 0,
      variance: 0,
      shape: spec,
      holdS: this.holdS(spec),
      gapMs: null,
      quietMs: this.smoothS() * 500,
    };
    load.gapMs = load.gapMs === null ? load.quietMs : load.gapMs * 0.9 + load.quietMs * 0.1;
    load.quietMs = 0;
    const seconds = this.holdS(spec) / this.smoothS();
    load.spec = spec;
    load.shape = blend(load.shape, load.mean, spec, spec.tasks * seconds);
    const share = (spec.tasks * seconds) / Math.max(1e-9, load.mean + spec.tasks * seconds);
    load.holdS += (this.holdS(spec) - load.holdS) * share;
    load.mean += spec.tasks * seconds;
    load.variance += spec.tasks * spec.tasks * seconds;
    this.loads.set(kindOf(spec), load);
  }

  /** For the state service, so that a takeover does not forget what to expect. */
  snapshot(): Load[] {
    return [...this.loads.values()];
  }

  restore(loads: Load[]): void {
    // Earlier versions kept no length.
    for (const l of loads) l.holdS ??= this.holdS(l.spec);
    this.loads = new Map(loads.map((l) => [kindOf(l.spec), l]));
  }

  refused(plan: RentPlan, now: number): void {
    const key = kindKey(plan.type, plan.zone, plan.spot);
    const old = this.refusals.get(key);
    const times = old ? Math.min(old.times + 1, MOST_DOUBLINGS) : 0;
    const bootMs = (this.cluster.types.get(plan.type)?.bootS ?? 30) * 1000;
    this.refusals.set(key, {
      until: now + bootMs * this.cluster.policy.backoffBoots * 2 ** times,
      times,
    });
  }

  /** A machine of this kind has gone, so there may be capacity again: it is worth a try soon. */
  freed(m: Machine, now: number): void {
    const refusal = this.refusals.get(kindKey(m.typeName, m.zone, m.spot));
    if (!refusal || !m.type) return;
    refusal.times = 0;
    const soon = now + m.type.bootS * 1000 * this.cluster.policy.backoffBoots;
    refusal.until = Math.min(refusal.until, soon);
  }

  granted(plan: RentPlan): void {
    this.refusals.delete(kindKey(plan.type, plan.zone, plan.spot));
  }

  private bootS(): number {
    let boot = 1;
    for (const t of this.cluster.types.values()) boot = Math.max(boot, t.bootS);
    return boot;
  }

  private smoothS(): number {
    return this.bootS() * this.cluster.policy.smoothBoots;
  }

  /** How long a task holds its room: its run and, now and then, the fetch of its image. */
  private holdS(spec: JobSpec): number {
    let rate = 0;
    for (const t of this.cluster.types.values()) rate = Math.max(rate, t.fetchGbPerS);
    return this.cluster.estimates.estimateS(spec) + (rate > 0 ? (spec.imageGb / rate) * 0.3 : 0);
  }

  private decay(now: number): void {
    const since = this.lastDecay === null ? 0 : now - this.lastDecay;
    this.lastDecay = now;
    const keep = Math.exp(-since / (this.smoothS() * 1000));
    for (const [key, load] of this.loads) {
      load.quietMs += since;
      load.mean *= keep;
      load.variance *= keep;
      if (load.mean < 1e-3) this.loads.delete(key);
    }
  }

  plan(now: number): RentPlan[] {
    const { cluster } = this;
    this.decay(now);
    if (cluster.types.size === 0) return [];
    const supply = this.supply(now);
    this.countMachines();
    const plans: RentPlan[] = [];
    const used = new Set<Machine>();
    for (const need of this.needs(now)) {
      const left = this.allocate(need, supply, used);
      if (left > 0) this.rentFor(need, left, supply, plans, now);
    }
    for (const m of cluster.machines.values()) m.surplus = false;
    for (const s of supply) if (s.machine) s.machine.surplus = !used.has(s.machine);
    return plans;
  }

  private countMachines(): void {
    this.machineCounts.clear();
    for (const m of this.cluster.machines.values()) {
      const key = kindKey(m.typeName, m.zone, m.spot);
      this.machineCounts.set(key, (this.machineCounts.get(key) ?? 0) + 1);
    }
  }

  private supply(now: number): Supply[] {
    const { cluster } = this;
    const out: Supply[] = [];
    for (const m of cluster.machines.values()) {
      if (m.type === null || m.drain !== null) continue;
      if (m.upAt !== null && now - m.lastReport > cluster.timing.silentMs) continue;
      // Far beyond its time to boot it may never come up: another is rented meanwhile.
      if (m.upAt === null && now - m.rentedAt > m.type.bootS * 1000 * LATE_BOOT) continue;
      out.push({ machine: m, type: m.type, zone: m.zone, spot: m.spot, fill: m.fill, free: 1 });
    }
    // Needs are laid on what is in use first, so that what is left empty is what can go back; what
    // was left before is left again.
    return out.sort(bySupplyOrder);
  }

  private needs(now: number): Need[] {
    const drainS = this.bootS() * (1 + this.cluster.policy.drainBoots);
    const work = this.workByKind(now);
    const out: Need[] = [];
    for (const key of new Set([...work.keys(), ...this.loads.keys()])) {
      const need = this.needOf(this.loads.get(key), work.get(key), drainS);
      if (need) out.push(need);
    }
    // What may run on ordinary machines only chooses first among them.
    return out.sort(
      (a, b) => a.spec.rank - b.spec.rank || Number(a.spec.spot) - Number(b.spec.spot),
    );
  }

  /** The work of live jobs that is ready, will be ready next, or is under way. */
  private workByKind(now: number): Map<string, Work> {
    const { cluster } = this;
    const work = new Map<string, Work>();
    for (const job of cluster.jobs.values()) {
      if (wantsRoom(job, now)) addWork(work, job.spec, job.ready, this.holdS(job.spec), true);
      // What it waits for is running: a machine rented now is up by the time that it is ready.
      else if (cluster.graph.isNext(job))
        addWork(work, job.spec, job.ready, this.holdS(job.spec), false);
      if (job.bound.size === 0) continue;
      let boundS = 0;
      for (const binding of job.bound.values())
        boundS += cluster.estimates.remainingS(binding, now);
      addWork(work, job.spec, 1, boundS, false);
    }
    return work;
  }

  /** What one kind of work needs, by what arrives of it and what is there; it is worked off in `drainS` seconds. */
  private needOf(load: Load | undefined, work: Work | undefined, drainS: number): Need | null {
    const spec = (work ?? load)?.spec;
    if (!spec) return null;
    const flowing = load ? this.flowing(load) : 0;
    const mean = (load?.mean ?? 0) * flowing;
    const margin = Math.sqrt(load?.variance ?? 0) * flowing * this.spreads(spec);
    // What is usually left of the work under way: half of each task on average. One job's length
    // must not stand for all: the oldest live job is often the longest, and would hide a backlog
    // for as long as it lives.
    const usual = (mean * (load?.holdS ?? 0)) / 2;
    const excess = Math.max(0, (work?.seconds ?? 0) - usual) / drainS;
    const shape = blend(
      load?.shape ?? spec,
      mean + margin,
      work?.shape ?? spec,
      Math.max(0, excess - margin),
    );
    return { spec, shape, slots: mean + Math.max(margin, excess), backlog: work?.ready ?? 0 };
  }

  /**
   * From 1 down to 0 as it becomes unlikely that the stream still flows: far
   * longer than usual without an arrival, it has stopped, and its machines
   * need not stay for what no longer comes.
   */
  private flowing(load: Load): number {
    if (load.gapMs === null) return 1;
    const bootMs = this.bootS() * 1000;
    const from = Math.max(load.gapMs * DOUBT_GAPS, bootMs * 0.5);
    const to = Math.max(load.gapMs * DOUBT_GAPS * 2, bootMs);
    return Math.min(1, Math.max(0, (to - load.quietMs) / (to - from)));
  }

  /** How many standard deviations of room the class's aims are worth. */
  private spreads(spec: JobSpec): number {
    const waits = this.cluster.estimates.waitAimS(spec.jobClass) !== null;
    return waits ? this.cluster.policy.waitSpread : this.cluster.policy.spread;
  }

  /** Lays a need over the supply; returns the slots that found no place. */
  private allocate(need: Need, supply: Supply[], used: Set<Machine>): number {
    let left = need.slots;
    for (const s of supply) {
      if (left <= 1e-9) break;
      if (s.free <= 1e-9 || !typeAllowed(s.type, s.zone, s.spot, need.spec)) continue;
      if (fitsType(s.type, need.spec) === 0) continue;
      const k = slotsOf(s.type, need.shape);
      const take = Math.min(left, s.free * k);
      s.free -= take / k;
      left -= take;
      if (s.machine) used.add(s.machine);
    }
    return Math.max(0, left);
  }

  private rentFor(
    need: Need,
    slots: number,
    supply: Supply[],
    plans: RentPlan[],
    now: number,
  ): void {
    let left = slots;
    const options = this.options(need.spec, now);
    for (const [i, o] of options.entries()) {
      const k = slotsOf(o.type, need.shape);
      // A small rest is left to the machines there are, unless none of them could ever take it.
      let count = Math.floor(left / k + 0.5);
      if (count === 0 && need.backlog > 0 && !somewhere(supply, need.spec)) count = 1;
      if (count === 0) return;
      // A large need is spread over the zones, so that what takes one of them leaves the rest.
      const like = options.slice(i).filter((x) => x.type === o.type && x.spot === o.spot).length;
      count = Math.min(count, RENT_LIMIT, Math.max(RENT_SHARE, Math.ceil(count / like)));
      plans.push({
        type: o.type.name,
        zone: o.zone,
        spot: o.spot,
        count,
        why: {
          class: need.spec.jobClass,
          slots: Math.round(need.slots),
          short: Math.round(left),
          ready: need.backlog,
        },
      });
      for (let i = 0; i < count; i++) {
        const free = 1 - Math.min(1, left / k);
        left -= k;
        supply.push({ machine: null, type: o.type, zone: o.zone, spot: o.spot, fill: 0, free });
      }
      if (left <= 0) return;
    }
  }

  /** The fleet and the needs in short, for the log. */
  overview(now: number): Record<string, unknown> {
    const kinds = {
      ordinary: { up: 0, booting: 0, fill: 0 },
      spot: { up: 0, booting: 0, fill: 0 },
    };
    for (const m of this.cluster.machines.values()) {
      const kind = m.spot ? kinds.spot : kinds.ordinary;
      if (m.upAt === null) kind.booting++;
      else {
        kind.up++;
        kind.fill += m.fill;
      }
    }
    const round = (x: number) => Math.round(x * 10) / 10;
    kinds.ordinary.fill = round(kinds.ordinary.fill);
    kinds.spot.fill = round(kinds.spot.fill);
    const needs = this.needs(now).map((n) => ({
      class: n.spec.jobClass,
      mean: round(this.loads.get(kindOf(n.spec))?.mean ?? 0),
      slots: round(n.slots),
      ready: n.backlog,
    }));
    return { ...kinds, needs };
  }

  /** What may be rented for the job, cheapest work first, the zone with the fewest machines first. */
  private options(spec: JobSpec, now: number): Option[] {
    const out: Option[] = [];
    for (const type of this.cluster.types.values()) {
      const slots = fitsType(type, spec);
      if (slots === 0 || !typeFits(spec, type)) continue;
      for (const zone of type.zones)
        for (const spot of [true, false]) {
          const option = this.option(type, zone, spot, spec, slots, now);
          if (option) out.push(option);
        }
    }
    return out.sort((a, b) => a.price - b.price || a.here - b.here);
  }

  /** Null: the job may not run on the kind, or the cloud had none of it a short while ago. */
  private option(
    type: MachineType,
    zone: string,
    spot: boolean,
    spec: JobSpec,
    slots: number,
    now: number,
  ): Option | null {
    if (!typeAllowed(type, zone, spot, spec)) return null;
    const key = kindKey(type.name, zone, spot);
    const refusal = this.refusals.get(key);
    if (refusal && refusal.until > now) return null;
    const price = (spot ? type.spotPrice : type.price) / slots;
    return { type, zone, spot, price, here: this.machineCounts.get(key) ?? 0 };
  }

  /** Machines that should go back to the cloud now, with the reason. */
  returns(now: number): MachineReturn[] {
    return this.surplusMachines.due(now);
  }
}

function addWork(
  work: Map<string, Work>,
  spec: JobSpec,
  tasks: number,
  seconds: number,
  ready: boolean,
): void {
  const kind = kindOf(spec);
  const known = work.get(kind) ?? { spec, shape: spec, ready: 0, seconds: 0 };
  known.shape = blend(known.shape, known.seconds, spec, tasks * seconds);
  known.seconds += tasks * seconds;
  if (ready) known.ready += tasks;
  work.set(kind, known);
}

function bySupplyOrder(a: Supply, b: Supply): number {
  if (a.spot !== b.spot) return a.spot ? -1 : 1;
  const surplusA = a.machine?.surplus ?? false;
  const surplusB = b.machine?.surplus ?? false;
  if (surplusA !== surplusB) return surplusA ? 1 : -1;
  if (a.fill !== b.fill) return b.fill - a.fill;
  const idA = a.machine?.id ?? '';
  const idB = b.machine?.id ?? '';
  if (idA === idB) return 0;
  return idA < idB ? -1 : 1;
}

/** Whether any machine that is there or asked for could ever take such a task. */
function somewhere(supply: Supply[], spec: JobSpec): boolean {
  return supply.some(
    (s) => typeAllowed(s.type, s.zone, s.spot, spec) && fitsType(s.type, spec) > 0,
  );
}

function typeAllowed(type: MachineType, zone: string, spot: boolean, spec: JobSpec): boolean {
  return (
    (spec.types === null || spec.types.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.spot || !spot)
  );
}

function kindOf(spec: JobSpec): string {
  return `${spec.jobClass}|${spec.rank}|${spec.spot}|${spec.types}|${spec.zone}`;
}

/** The mean of two shapes by weight. */
function blend(a: Shape, weightA: number, b: Shape, weightB: number): Shape {
  const sum = weightA + weightB;
  if (sum <= 0) return { cpus: b.cpus, gpus: b.gpus, memoryGb: b.memoryGb };
  const mix = (x: number, y: number) => (x * weightA + y * weightB) / sum;
  return {
    cpus: mix(a.cpus, b.cpus),
    gpus: mix(a.gpus, b.gpus),
    memoryGb: mix(a.memoryGb, b.memoryGb),
  };
}

/** How many tasks of the mean shape a machine runs at once: a part of one may be left over. */
function slotsOf(type: MachineType, shape: Shape): number {
  return Math.max(
    0.1,
    Math.min(
      1e5,
      shape.cpus > 0 ? type.cpus / shape.cpus : 1e5,
      shape.gpus > 0 ? type.gpus / shape.gpus : 1e5,
      shape.memoryGb > 0 ? type.memoryGb / shape.memoryGb : 1e5,
    ),
  );
}
