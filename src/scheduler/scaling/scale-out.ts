import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import { canRunOnType } from '../../model/job-feasibility.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import type { ResourceRequest } from '../../model/resources.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { type Machine, slotsOnType } from '../state/machine.js';
import { type MachineTermination, ScaleInPlanner } from './scale-in.js';

export interface ScaleOutPlan {
  type: string;
  zone: string;
  spot: boolean;
  count: number;
  reason: Record<string, unknown>;
}

/** After this many mean gaps without an arrival a stream may have stopped: chance alone does so once in twelve; after twice as many it has. */
const STALE_ARRIVAL_INTERVALS = 2.5;

/** Boots usually take up to one and a half times the type's time. */
const LATE_BOOT_RATIO = 2;

/** The protocol's bound on machines in one rental. */
const MAX_MACHINES_PER_REQUEST = 50;

/** A need of no more machines than this is not worth dividing between zones. */
const MIN_MACHINES_PER_ZONE = 4;

/** The pause after a refusal doubles this often. */
const MAX_BACKOFF_DOUBLINGS = 2;

interface CapacityBackoff {
  until: number;
  doublings: number;
}

interface AvailableCapacity {
  machine: Machine | null;
  type: MachineType;
  zone: string;
  spot: boolean;
  /** How full the machine is: a sort that asked for it at each comparison took most of a plan's time. */
  utilization: number;
  /** Part of the machine that no need is laid on yet. */
  freeShare: number;
}

interface Demand {
  spec: JobSpec;
  meanRequest: ResourceRequest;
  /** Tasks to be run at once. */
  slots: number;
  /** Work that is ready now. */
  backlog: number;
}

/** Work of one kind that is there. */
interface Work {
  spec: JobSpec;
  shape: ResourceRequest;
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
export class ScaleOutPlanner {
  private forecasts = new Map<string, DemandForecast>();
  private readonly backoffs = new Map<string, CapacityBackoff>();
  private lastDecay: number | null = null;
  /** Machines of each type, zone and kind when the plan was begun. */
  private readonly machinesPerPool = new Map<string, number>();

  private readonly scaleIn: ScaleInPlanner;

  constructor(private readonly cluster: ClusterState) {
    this.scaleIn = new ScaleInPlanner(cluster);
  }

  /** A job has arrived: its work counts towards what is expected. */
  recordArrival(spec: JobSpec): void {
    const forecast: DemandForecast = this.forecasts.get(demandKey(spec)) ?? {
      spec,
      mean: 0,
      variance: 0,
      meanRequest: spec,
      occupancyS: this.occupancyS(spec),
      arrivalIntervalMs: null,
      sinceLastArrivalMs: this.smoothingS() * 500,
    };
    forecast.arrivalIntervalMs =
      forecast.arrivalIntervalMs === null
        ? forecast.sinceLastArrivalMs
        : forecast.arrivalIntervalMs * 0.9 + forecast.sinceLastArrivalMs * 0.1;
    forecast.sinceLastArrivalMs = 0;
    const seconds = this.occupancyS(spec) / this.smoothingS();
    forecast.spec = spec;
    forecast.meanRequest = weightedMean(
      forecast.meanRequest,
      forecast.mean,
      spec,
      spec.tasks * seconds,
    );
    const share = (spec.tasks * seconds) / Math.max(1e-9, forecast.mean + spec.tasks * seconds);
    forecast.occupancyS += (this.occupancyS(spec) - forecast.occupancyS) * share;
    forecast.mean += spec.tasks * seconds;
    forecast.variance += spec.tasks * spec.tasks * seconds;
    this.forecasts.set(demandKey(spec), forecast);
  }

  /** For the state service, so that a takeover does not forget what to expect. */
  snapshot(): DemandForecast[] {
    return [...this.forecasts.values()];
  }

  restore(forecasts: DemandForecast[]): void {
    // Earlier versions kept no length.
    for (const forecast of forecasts) forecast.occupancyS ??= this.occupancyS(forecast.spec);
    this.forecasts = new Map(forecasts.map((forecast) => [demandKey(forecast.spec), forecast]));
  }

  recordRefusal(plan: ScaleOutPlan, now: number): void {
    const key = machinePoolKey(plan.type, plan.zone, plan.spot);
    const old = this.backoffs.get(key);
    const times = old ? Math.min(old.doublings + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    const bootMs = (this.cluster.machineTypes.get(plan.type)?.bootS ?? 30) * 1000;
    this.backoffs.set(key, {
      until: now + bootMs * this.cluster.policy.backoffBoots * 2 ** times,
      doublings: times,
    });
  }

  /** A machine of this kind has gone, so there may be capacity again: it is worth a try soon. */
  capacityFreed(machine: Machine, now: number): void {
    const refusal = this.backoffs.get(machinePoolKey(machine.typeName, machine.zone, machine.spot));
    if (!refusal || !machine.type) return;
    refusal.doublings = 0;
    const soon = now + machine.type.bootS * 1000 * this.cluster.policy.backoffBoots;
    refusal.until = Math.min(refusal.until, soon);
  }

  recordSuccess(plan: ScaleOutPlan): void {
    this.backoffs.delete(machinePoolKey(plan.type, plan.zone, plan.spot));
  }

  private longestBootS(): number {
    let boot = 1;
    for (const type of this.cluster.machineTypes.values()) boot = Math.max(boot, type.bootS);
    return boot;
  }

  private smoothingS(): number {
    return this.longestBootS() * this.cluster.policy.smoothingBoots;
  }

  /** How long a task holds its room: its run and, now and then, the fetch of its image. */
  private occupancyS(spec: JobSpec): number {
    let rate = 0;
    for (const type of this.cluster.machineTypes.values())
      rate = Math.max(rate, type.imagePullGbPerS);
    return this.cluster.estimates.estimateS(spec) + (rate > 0 ? (spec.imageGb / rate) * 0.3 : 0);
  }

  private decayForecasts(now: number): void {
    const since = this.lastDecay === null ? 0 : now - this.lastDecay;
    this.lastDecay = now;
    const keep = Math.exp(-since / (this.smoothingS() * 1000));
    for (const [key, load] of this.forecasts) {
      load.sinceLastArrivalMs += since;
      load.mean *= keep;
      load.variance *= keep;
      if (load.mean < 1e-3) this.forecasts.delete(key);
    }
  }

  plan(now: number): ScaleOutPlan[] {
    const { cluster } = this;
    this.decayForecasts(now);
    if (cluster.machineTypes.size === 0) return [];
    const capacity = this.availableCapacity(now);
    this.countMachines();
    const plans: ScaleOutPlan[] = [];
    const used = new Set<Machine>();
    for (const demand of this.demands(now)) {
      const left = this.allocate(demand, capacity, used);
      if (left > 0) this.planFor(demand, left, capacity, plans, now);
    }
    for (const machine of cluster.machines.values()) machine.scaleInCandidate = false;
    for (const available of capacity)
      if (available.machine) available.machine.scaleInCandidate = !used.has(available.machine);
    return plans;
  }

  private countMachines(): void {
    this.machinesPerPool.clear();
    for (const machine of this.cluster.machines.values()) {
      const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
      this.machinesPerPool.set(key, (this.machinesPerPool.get(key) ?? 0) + 1);
    }
  }

  private availableCapacity(now: number): AvailableCapacity[] {
    const { cluster } = this;
    const out: AvailableCapacity[] = [];
    for (const machine of cluster.machines.values()) {
      if (machine.type === null || machine.drainReason !== null) continue;
      if (
        machine.upAt !== null &&
        now - machine.lastHeartbeatAt > cluster.timing.unreachableAfterMs
      )
        continue;
      // Far beyond its time to boot it may never come up: another is rented meanwhile.
      if (
        machine.upAt === null &&
        now - machine.provisionedAt > machine.type.bootS * 1000 * LATE_BOOT_RATIO
      )
        continue;
      out.push({
        machine: machine,
        type: machine.type,
        zone: machine.zone,
        spot: machine.spot,
        utilization: machine.utilization,
        freeShare: 1,
      });
    }
    // Needs are laid on what is in use first, so that what is left empty is what can go back; what
    // was left before is left again.
    return out.sort(byAllocationOrder);
  }

  private demands(now: number): Demand[] {
    const drainS = this.longestBootS() * (1 + this.cluster.policy.backlogBoots);
    const work = this.workByKind(now);
    const out: Demand[] = [];
    for (const key of new Set([...work.keys(), ...this.forecasts.keys()])) {
      const demand = this.needOf(this.forecasts.get(key), work.get(key), drainS);
      if (demand) out.push(demand);
    }
    // What may run on ordinary machines only chooses first among them.
    return out.sort(
      (a, b) =>
        a.spec.priority - b.spec.priority || Number(a.spec.allowsSpot) - Number(b.spec.allowsSpot),
    );
  }

  /** The work of live jobs that is ready, will be ready next, or is under way. */
  private workByKind(now: number): Map<string, Work> {
    const { cluster } = this;
    const work = new Map<string, Work>();
    for (const job of cluster.jobs.values()) {
      if (hasPlaceableTasks(job, now))
        addWork(work, job.spec, job.readyCount, this.occupancyS(job.spec), true);
      // What it waits for is running: a machine rented now is up by the time that it is ready.
      else if (cluster.dependencies.isAboutToBeReady(job))
        addWork(work, job.spec, job.readyCount, this.occupancyS(job.spec), false);
      if (job.activeAttempts.size === 0) continue;
      let boundS = 0;
      for (const attempt of job.activeAttempts.values())
        boundS += cluster.estimates.remainingS(attempt, now);
      addWork(work, job.spec, 1, boundS, false);
    }
    return work;
  }

  /** What one kind of work needs, by what arrives of it and what is there; it is worked off in `drainS` seconds. */
  private needOf(
    forecast: DemandForecast | undefined,
    work: Work | undefined,
    drainS: number,
  ): Demand | null {
    const spec = (work ?? forecast)?.spec;
    if (!spec) return null;
    const flowing = forecast ? this.activeProbability(forecast) : 0;
    const mean = (forecast?.mean ?? 0) * flowing;
    const margin = Math.sqrt(forecast?.variance ?? 0) * flowing * this.safetyMargin(spec);
    // What is usually left of the work under way: half of each task on average. One job's length
    // must not stand for all: the oldest live job is often the longest, and would hide a backlog
    // for as long as it lives.
    const usual = (mean * (forecast?.occupancyS ?? 0)) / 2;
    const excess = Math.max(0, (work?.seconds ?? 0) - usual) / drainS;
    const shape = weightedMean(
      forecast?.meanRequest ?? spec,
      mean + margin,
      work?.shape ?? spec,
      Math.max(0, excess - margin),
    );
    return {
      spec,
      meanRequest: shape,
      slots: mean + Math.max(margin, excess),
      backlog: work?.ready ?? 0,
    };
  }

  /**
   * From 1 down to 0 as it becomes unlikely that the stream still flows: far
   * longer than usual without an arrival, it has stopped, and its machines
   * need not stay for what no longer comes.
   */
  private activeProbability(forecast: DemandForecast): number {
    if (forecast.arrivalIntervalMs === null) return 1;
    const bootMs = this.longestBootS() * 1000;
    const from = Math.max(forecast.arrivalIntervalMs * STALE_ARRIVAL_INTERVALS, bootMs * 0.5);
    const to = Math.max(forecast.arrivalIntervalMs * STALE_ARRIVAL_INTERVALS * 2, bootMs);
    return Math.min(1, Math.max(0, (to - forecast.sinceLastArrivalMs) / (to - from)));
  }

  /** How many standard deviations of room the class's aims are worth. */
  private safetyMargin(spec: JobSpec): number {
    const waits = this.cluster.estimates.startObjectiveS(spec.jobClass) !== null;
    return waits ? this.cluster.policy.waitSafetyMargin : this.cluster.policy.safetyMargin;
  }

  /** Lays a need over the supply; returns the slots that found no place. */
  private allocate(demand: Demand, capacity: AvailableCapacity[], used: Set<Machine>): number {
    let left = demand.slots;
    for (const available of capacity) {
      if (left <= 1e-9) break;
      if (
        available.freeShare <= 1e-9 ||
        !poolSatisfiesConstraints(available.type, available.zone, available.spot, demand.spec)
      )
        continue;
      if (slotsOnType(available.type, demand.spec) === 0) continue;
      const k = slotsOf(available.type, demand.meanRequest);
      const take = Math.min(left, available.freeShare * k);
      available.freeShare -= take / k;
      left -= take;
      if (available.machine) used.add(available.machine);
    }
    return Math.max(0, left);
  }

  private planFor(
    demand: Demand,
    slots: number,
    capacity: AvailableCapacity[],
    plans: ScaleOutPlan[],
    now: number,
  ): void {
    let left = slots;
    const options = this.poolOptions(demand.spec, now);
    for (const [i, o] of options.entries()) {
      const k = slotsOf(o.type, demand.meanRequest);
      // A small rest is left to the machines there are, unless none of them could ever take it.
      let count = Math.floor(left / k + 0.5);
      if (count === 0 && demand.backlog > 0 && !anyCanRun(capacity, demand.spec)) count = 1;
      if (count === 0) return;
      // A large need is spread over the zones, so that what takes one of them leaves the rest.
      const like = options.slice(i).filter((x) => x.type === o.type && x.spot === o.spot).length;
      count = Math.min(
        count,
        MAX_MACHINES_PER_REQUEST,
        Math.max(MIN_MACHINES_PER_ZONE, Math.ceil(count / like)),
      );
      plans.push({
        type: o.type.name,
        zone: o.zone,
        spot: o.spot,
        count,
        reason: {
          class: demand.spec.jobClass,
          slots: Math.round(demand.slots),
          short: Math.round(left),
          ready: demand.backlog,
        },
      });
      for (let i = 0; i < count; i++) {
        const free = 1 - Math.min(1, left / k);
        left -= k;
        capacity.push({
          machine: null,
          type: o.type,
          zone: o.zone,
          spot: o.spot,
          utilization: 0,
          freeShare: free,
        });
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
    for (const machine of this.cluster.machines.values()) {
      const kind = machine.spot ? kinds.spot : kinds.ordinary;
      if (machine.upAt === null) kind.booting++;
      else {
        kind.up++;
        kind.fill += machine.utilization;
      }
    }
    const round = (x: number) => Math.round(x * 10) / 10;
    kinds.ordinary.fill = round(kinds.ordinary.fill);
    kinds.spot.fill = round(kinds.spot.fill);
    const needs = this.demands(now).map((demand) => ({
      class: demand.spec.jobClass,
      mean: round(this.forecasts.get(demandKey(demand.spec))?.mean ?? 0),
      slots: round(demand.slots),
      ready: demand.backlog,
    }));
    return { ...kinds, needs };
  }

  /** What may be rented for the job, cheapest work first, the zone with the fewest machines first. */
  private poolOptions(spec: JobSpec, now: number): Option[] {
    const out: Option[] = [];
    for (const type of this.cluster.machineTypes.values()) {
      const slots = slotsOnType(type, spec);
      if (slots === 0 || !canRunOnType(spec, type)) continue;
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
    if (!poolSatisfiesConstraints(type, zone, spot, spec)) return null;
    const key = machinePoolKey(type.name, zone, spot);
    const refusal = this.backoffs.get(key);
    if (refusal && refusal.until > now) return null;
    const price = (spot ? type.spotPrice : type.price) / slots;
    return { type, zone, spot, price, here: this.machinesPerPool.get(key) ?? 0 };
  }

  /** Machines that should go back to the cloud now, with the reason. */
  planScaleIn(now: number): MachineTermination[] {
    return this.scaleIn.plan(now);
  }
}

function addWork(
  work: Map<string, Work>,
  spec: JobSpec,
  tasks: number,
  seconds: number,
  ready: boolean,
): void {
  const kind = demandKey(spec);
  const known = work.get(kind) ?? { spec, shape: spec, ready: 0, seconds: 0 };
  known.shape = weightedMean(known.shape, known.seconds, spec, tasks * seconds);
  known.seconds += tasks * seconds;
  if (ready) known.ready += tasks;
  work.set(kind, known);
}

function byAllocationOrder(a: AvailableCapacity, b: AvailableCapacity): number {
  if (a.spot !== b.spot) return a.spot ? -1 : 1;
  const surplusA = a.machine?.scaleInCandidate ?? false;
  const surplusB = b.machine?.scaleInCandidate ?? false;
  if (surplusA !== surplusB) return surplusA ? 1 : -1;
  if (a.utilization !== b.utilization) return b.utilization - a.utilization;
  const idA = a.machine?.id ?? '';
  const idB = b.machine?.id ?? '';
  if (idA === idB) return 0;
  return idA < idB ? -1 : 1;
}

/** Whether any machine that is there or asked for could ever take such a task. */
function anyCanRun(capacity: AvailableCapacity[], spec: JobSpec): boolean {
  return capacity.some(
    (capacity) =>
      poolSatisfiesConstraints(capacity.type, capacity.zone, capacity.spot, spec) &&
      slotsOnType(capacity.type, spec) > 0,
  );
}

function poolSatisfiesConstraints(
  type: MachineType,
  zone: string,
  spot: boolean,
  spec: JobSpec,
): boolean {
  return (
    (spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
    (spec.zone === null || spec.zone === zone) &&
    (spec.allowsSpot || !spot)
  );
}

function demandKey(spec: JobSpec): string {
  return `${spec.jobClass}|${spec.priority}|${spec.allowsSpot}|${spec.machineTypes}|${spec.zone}`;
}

/** The mean of two shapes by weight. */
function weightedMean(
  a: ResourceRequest,
  weightA: number,
  b: ResourceRequest,
  weightB: number,
): ResourceRequest {
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
function slotsOf(type: MachineType, shape: ResourceRequest): number {
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
