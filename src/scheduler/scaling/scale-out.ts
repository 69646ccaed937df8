/** Scale-out: plans the machines to provision from demand and available capacity. */
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

/** Maximum number of machines in one request, by the cloud protocol. */
const MAX_MACHINES_PER_REQUEST = 50;
/** A request for up to this many machines is not divided between zones. */
const MIN_MACHINES_PER_ZONE = 4;

/** The demand that a plan was made for, as logged. */
export interface ScaleOutReason {
  class: string;
  /** Number of tasks of this kind of work that should run concurrently. */
  slots: number;
  /** Number of those tasks that existing and planned machines did not cover. */
  short: number;
  /** Number of tasks that are ready now. */
  ready: number;
}

/** Machines to provision with one request. */
export interface ScaleOutPlan extends MachinePool {
  count: number;
  reason: ScaleOutReason;
}

/** The state of one planning pass. */
interface PlanningState {
  readonly pools: PoolContext;
  /** Existing and planned machines. */
  readonly capacity: AvailableCapacity[];
  readonly plans: ScaleOutPlan[];
}

/**
 * Plans scale-out by demand. Allocates the demand of each kind of work to the
 * machines that are up or booting and plans further machines for the uncovered
 * part. Machines that receive no demand become scale-in candidates.
 */
export class ScaleOutPlanner {
  private readonly forecasts: DemandForecasts;
  private readonly backoff: CapacityBackoff;

  constructor(private readonly cluster: ClusterState) {
    this.forecasts = new DemandForecasts(cluster);
    this.backoff = new CapacityBackoff(cluster);
  }

  /** Adds the work of an arrived job to the demand forecasts. */
  recordArrival(spec: JobSpec): void {
    this.forecasts.recordArrival(spec);
  }

  /** Returns all forecasts. They are stored in the state service, so that a failover keeps them. */
  snapshot(): DemandForecast[] {
    return this.forecasts.snapshot();
  }

  /** Replaces all forecasts with those of an earlier leader. */
  restore(forecasts: DemandForecast[]): void {
    this.forecasts.restore(forecasts);
  }

  /** Called when the cloud had too little capacity for the plan. Backs off from its pool. */
  recordRefusal(plan: ScaleOutPlan, now: number): void {
    this.backoff.recordRefusal(plan, now);
  }

  /** Called when all machines of the plan were provisioned. */
  recordSuccess(plan: ScaleOutPlan): void {
    this.backoff.recordSuccess(plan);
  }

  /**
   * Called when a machine has terminated. Its pool may have capacity again, so a
   * back-off is shortened.
   */
  recordTermination(machine: Machine, now: number): void {
    this.backoff.recordTermination(machine, now);
  }

  /** Plans the machines to provision now. Marks the scale-in candidates for `ScaleInPlanner`. */
  plan(now: number): ScaleOutPlan[] {
    const { cluster, backoff } = this;
    this.forecasts.decay(now);
    if (cluster.machineTypes.size === 0) return [];
    const capacity = availableCapacity(cluster, now);
    const machinesPerPool = countMachinesPerPool(cluster);
    const pools = { types: cluster.machineTypes, machinesPerPool, backoff, now };
    const planning: PlanningState = { pools, capacity, plans: [] };
    const used = new Set<Machine>();
    for (const demand of estimateDemands(cluster, this.forecasts, now)) {
      const uncovered = allocate(demand, capacity, used);
      if (uncovered > 0) planProvisioning(planning, demand, uncovered);
    }
    markScaleInCandidates(cluster, capacity, used);
    return planning.plans;
  }

  /** Returns a summary of machines and demand for the log. */
  overview(now: number): FleetOverview {
    return fleetOverview(this.cluster, estimateDemands(this.cluster, this.forecasts, now));
  }
}

/** Marks the available machines to which no demand was allocated. */
function markScaleInCandidates(
  cluster: ClusterState,
  capacity: AvailableCapacity[],
  used: Set<Machine>,
): void {
  for (const machine of cluster.machines.values()) machine.scaleInCandidate = false;
  for (const { machine } of capacity) if (machine) machine.scaleInCandidate = !used.has(machine);
}

/** Plans machines for the uncovered slots of a demand, one pool after the other. */
function planProvisioning(planning: PlanningState, demand: Demand, uncovered: number): void {
  const { pools, capacity, plans } = planning;
  const options = poolOptions(pools, demand.spec);
  let remaining = uncovered;
  for (const [index, option] of options.entries()) {
    const slotsPerMachine = meanSlots(option.type, demand.meanRequest);
    const wanted = machineCountFor(demand, remaining, slotsPerMachine, capacity);
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

/**
 * Returns the number of machines to plan, rounded to the nearest integer. Demand for
 * less than half a machine waits for existing machines, unless tasks are ready and no
 * existing or planned machine could ever run them. It then gets one machine.
 */
function machineCountFor(
  demand: Demand,
  slots: number,
  slotsPerMachine: number,
  capacity: AvailableCapacity[],
): number {
  const count = Math.floor(slots / slotsPerMachine + 0.5);
  if (count === 0 && demand.readyTasks > 0 && !anyCanEverRun(capacity, demand.spec)) return 1;
  return count;
}

/**
 * Returns the number of machines to request from one pool. A large demand is spread
 * over the zones to limit the loss when a zone fails.
 */
function limitPerRequest(machines: number, zones: number): number {
  return Math.min(
    machines,
    MAX_MACHINES_PER_REQUEST,
    Math.max(MIN_MACHINES_PER_ZONE, Math.ceil(machines / zones)),
  );
}

/** Counts the zones in which `options` has a pool of the same type, and spot or not, as the given one. */
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
      ready: demand.readyTasks,
    },
  };
}

function plannedMachine(option: PoolOption, freeShare: number): AvailableCapacity {
  const { type, typeName, zone, spot } = option;
  return { machine: null, type, typeName, zone, spot, utilization: 0, freeShare };
}
