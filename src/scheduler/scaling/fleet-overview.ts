/** The machines and the demand in short, for the log. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Demand } from './demand.js';

/** Counts of machines of one kind. */
interface MachineCounts {
  up: number;
  booting: number;
  /** The sum of the utilizations of those that are up. */
  utilization: number;
}

/** One kind of work. */
interface DemandOverview {
  class: string;
  /** Tasks at once on average by the forecast. */
  mean: number;
  /** Tasks to be run at once. */
  slots: number;
  /** Tasks that are ready now. */
  ready: number;
}

/** The fields of the log line `fleet status`. */
export interface FleetOverview {
  ordinary: MachineCounts;
  spot: MachineCounts;
  demands: DemandOverview[];
}

/** Sums up the machines and demands, rounded to one decimal. */
export function fleetOverview(cluster: ClusterState, demands: Demand[]): FleetOverview {
  const ordinary: MachineCounts = { up: 0, booting: 0, utilization: 0 };
  const spot: MachineCounts = { up: 0, booting: 0, utilization: 0 };
  for (const machine of cluster.machines.values()) {
    const counts = machine.spot ? spot : ordinary;
    if (machine.upAt === null) counts.booting++;
    else {
      counts.up++;
      counts.utilization += machine.utilization;
    }
  }
  ordinary.utilization = round(ordinary.utilization);
  spot.utilization = round(spot.utilization);
  return { ordinary, spot, demands: demands.map(demandOverview) };
}

function demandOverview(demand: Demand): DemandOverview {
  return {
    class: demand.spec.jobClass,
    mean: round(demand.forecastMean),
    slots: round(demand.slots),
    ready: demand.backlog,
  };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
