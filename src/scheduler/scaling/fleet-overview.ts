/** A summary of machines and demand for the log. */
import type { ClusterState } from '../state/cluster-state.js';
import type { Demand } from './demand.js';

/** Counts of on-demand or spot machines. */
interface MachineCounts {
  up: number;
  booting: number;
  /** Sum of the utilizations (0 to 1) of the machines that are up. */
  utilization: number;
}

/** The demand of one kind of work. */
interface DemandOverview {
  class: string;
  /** Mean number of concurrent tasks by the forecast. */
  mean: number;
  /** Number of tasks to run concurrently. */
  slots: number;
  /** Number of tasks that are ready now. */
  ready: number;
}

/** The fields of the log line `fleet status`. */
export interface FleetOverview {
  ordinary: MachineCounts;
  spot: MachineCounts;
  demands: DemandOverview[];
}

/**
 * Summarizes the machines and demands. Utilizations, means and slots are rounded to
 * one decimal.
 */
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
    ready: demand.readyTasks,
  };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
