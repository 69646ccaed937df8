/** Scale-out: from demand and available capacity to machines to be provisioned. */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/task-attempt.js';
import {
  type AvailableCapacity,
  allocate,
  anyCanEverRun,
  availableCapacity,
  countMachinesPerPool,
  meanSlots,
} from './capacity.js';
import { CapacityBackoff, type MachinePool } from './capacity-backoff.js';
import { type Demand, estimateDemands } from './demand.js';
import { DemandForecasts } from './demand-forecasts.js';
import { type FleetOverview, fleetOverview } from './fleet-overview.js';
import { type PoolContext, type PoolOption, poolOptions } from './pool-options.js';

/**
 * The most machines of one request (protocol; docs/limits-history.md, "What helped, in
 * the order of its size").
 */
const MAX_MACHINES_PER_REQUEST = 50;
/** A demand for no more machines than this is not worth dividing between zones. */
const MIN_MACHINES_PER_ZONE = 4;

/** What a plan was made for, as it is logged. */
export interface ScaleOutReason {
  class: string;
  /** Tasks of the kind of work to be run at once. */
  slots: number;
  /** Those of them that no capacity covered yet. */
  short: number;
  /** Tasks that are ready now. */
  ready: number;
}

/** Machines to be provisioned with one request. */
export interface ScaleOutPlan extends MachinePool {
  count: number;
  reason: ScaleOutReason;
}

/** A plan under way. */
interface Planning {
  readonly pools: PoolContext;
  /** Existing and planned machines. */
  readonly capacity: AvailableCapacity[];
  readonly plans: ScaleOutPlan[];
}

/**
 * Scales out by demand. The demand of each kind of work is allocated to the
 * machines that are up or booting; machines are provisioned for what is not
 * covered, and a machine to which nothing was allocated becomes a scale-in
 * candidate.
 */
export class ScaleOutPlanner {
  private readonly forecasts: DemandForecasts;
  private readonly backoff: CapacityBackoff;

  constructor(private readonly cluster: ClusterState) {
    this.forecasts = new DemandForecasts(cluster);
    this.backoff = new CapacityBackoff(cluster);
  }

  /** A job has arrived: its work counts towards the demand that is expected. */
  recordArrival(spec: JobSpec): void {
    this.forecasts.recordArrival(spec);
  }

  /** The forecasts, for the state service: a failover must not forget what to expect. */
  snapshot(): DemandForecast[] {
    return this.forecasts.snapshot();
  }

  /** Takes over the forecasts of an earlier leader. */
  restore(forecasts: DemandForecast[]): void {
    this.forecasts.restore(forecasts);
  }

  /** The cloud had too little capacity for the plan: its pool is left alone for a while. */
  recordRefusal(plan: ScaleOutPlan, now: number): void {
    this.backoff.recordRefusal(plan, now);
  }

  /** The plan was carried out in full. */
  recordSuccess(plan: ScaleOutPlan): void {
    this.backoff.recordSuccess(plan);
  }

  /** A machine has terminated, so its pool may have capacity again: it is worth a try soon. */
  capacityFreed(machine: Machine, now: number): void {
    this.backoff.recordTermination(machine, now);
  }

  /** What to provision now. Marks the scale-in candidates, which `ScaleInPlanner` rests on. */
  plan(now: number): ScaleOutPlan[] {
    const { cluster, backoff } = this;
    this.forecasts.decay(now);
    if (cluster.machineTypes.size === 0) return [];
    const capacity = availableCapacity(cluster, now);
    const machinesPerPool = countMachinesPerPool(cluster);
    const pools = { types: cluster.machineTypes, machinesPerPool, backoff, now };
    const planning: Planning = { pools, capacity, plans: [] };
    const used = new Set<Machine>();
    for (const demand of estimateDemands(cluster, this.forecasts, now)) {
      const uncovered = allocate(demand, capacity, used);
      if (uncovered > 0) planProvisioning(planning, demand, uncovered);
    }
    markScaleInCandidates(cluster, capacity, used);
    return planning.plans;
  }

  /** The machines and the demand in short, for the log. */
  overview(now: number): FleetOverview {
    return fleetOverview(this.cluster, estimateDemands(this.cluster, this.forecasts, now));
  }
}

/** Machines that demand could be allocated to, and to which none was, may go. */
function markScaleInCandidates(
  cluster: ClusterState,
  capacity: AvailableCapacity[],
  used: Set<Machine>,
): void {
  for (const machine of cluster.machines.values()) machine.scaleInCandidate = false;
  for (const { machine } of capacity) if (machine) machine.scaleInCandidate = !used.has(machine);
}

/** Plans machines for the uncovered slots of the demand, pool by pool. */
function planProvisioning(planning: Planning, demand: Demand, uncovered: number): void {
  const { pools, capacity, plans } = planning;
  const options = poolOptions(pools, demand.spec);
  let remaining = uncovered;
  for (const [index, option] of options.entries()) {
    const slotsPerMachine = meanSlots(option.type, demand.meanRequest);
    const wanted = machinesFor(demand, remaining, slotsPerMachine, capacity);
    if (wanted === 0) return;
    const count = limitPerRequest(wanted, countZones(options.slice(index), option));
    plans.push(scaleOutPlan(demand, option, count, remaining));
    for (let machine = 0; machine < count; machine++) {
      const freeShare = 1 - Math.min(1, remaining / slotsPerMachine);
      capacity.push(plannedMachine(option, freeShare));
      remaining -= slotsPerMachine;
    }
    if (remaining <= 0) return;
  }
}

/** A small rest is left to the machines there are, unless none of them could ever take it. */
function machinesFor(
  demand: Demand,
  slots: number,
  slotsPerMachine: number,
  capacity: AvailableCapacity[],
): number {
  const count = Math.floor(slots / slotsPerMachine + 0.5);
  if (count === 0 && demand.backlog > 0 && !anyCanEverRun(capacity, demand.spec)) return 1;
  return count;
}

/** A large demand is spread over the zones, so that the loss of one of them leaves the rest. */
function limitPerRequest(machines: number, zones: number): number {
  return Math.min(
    machines,
    MAX_MACHINES_PER_REQUEST,
    Math.max(MIN_MACHINES_PER_ZONE, Math.ceil(machines / zones)),
  );
}

/** In how many zones machines like the option's are to be had. */
function countZones(options: PoolOption[], { type, spot }: PoolOption): number {
  return options.filter((option) => option.type === type && option.spot === spot).length;
}

function scaleOutPlan(
  demand: Demand,
  option: PoolOption,
  count: number,
  uncovered: number,
): ScaleOutPlan {
  return {
    type: option.typeName,
    zone: option.zone,
    spot: option.spot,
    count,
    reason: {
      class: demand.spec.jobClass,
      slots: Math.round(demand.slots),
      short: Math.round(uncovered),
      ready: demand.backlog,
    },
  };
}

function plannedMachine(option: PoolOption, freeShare: number): AvailableCapacity {
  const { type, typeName, zone, spot } = option;
  return { machine: null, type, typeName, zone, spot, utilization: 0, freeShare };
}
