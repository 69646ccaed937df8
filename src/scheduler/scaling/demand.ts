/** Estimates the demand, in concurrent tasks by kind of work, from forecasts and live jobs. */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import type { ResourceRequest } from '../../model/resources.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { longestBootS } from './boot-time.js';
import type { DemandForecasts } from './demand-forecasts.js';
import { occupancyS, weightedMean, workKindKey } from './work-kinds.js';

/** The demand of one kind of work for machine capacity. */
export interface Demand {
  /** A job of this kind. */
  spec: JobSpec;
  /** Mean resource request of a task. */
  meanRequest: ResourceRequest;
  /** Number of tasks to run concurrently. May be fractional. */
  slots: number;
  /** Number of tasks that are ready now. */
  readyTasks: number;
  /** Mean of the forecast, 0 if there is none. Only logged. */
  forecastMean: number;
}

/** The remaining work of one kind in live jobs. */
interface LiveWork {
  spec: JobSpec;
  meanRequest: ResourceRequest;
  /** Number of tasks that may be started now. */
  readyTasks: number;
  /** Total time for which the tasks occupy their slots, in seconds. */
  slotSeconds: number;
}

/**
 * Returns the demands, highest priority first. The demand of each kind of work is
 * the forecast mean plus the larger of two amounts: a safety margin for job
 * arrays, whose tasks all arrive at once, and the slots that work off the excess
 * backlog in time.
 */
export function estimateDemands(
  cluster: ClusterState,
  forecasts: DemandForecasts,
  now: number,
): Demand[] {
  // Machines provisioned now are up after one boot time. The backlog should be worked off
  // within `backlogBoots` boot times after that.
  const backlogTargetS = longestBootS(cluster.machineTypes) * (1 + cluster.policy.backlogBoots);
  const work = liveWorkByKind(cluster, now);
  const demands: Demand[] = [];
  for (const kind of new Set([...work.keys(), ...forecasts.kinds()])) {
    const demand = demandOf(cluster, forecasts, kind, work.get(kind), backlogTargetS);
    if (demand) demands.push(demand);
  }
  // Work that is restricted to on-demand machines is allocated to them first.
  return demands.sort(
    (a, b) =>
      a.spec.priority - b.spec.priority || Number(a.spec.allowsSpot) - Number(b.spec.allowsSpot),
  );
}

/** Returns the work of live jobs that is ready, about to be ready, or running. */
function liveWorkByKind(cluster: ClusterState, now: number): Map<string, LiveWork> {
  const work = new Map<string, LiveWork>();
  for (const job of cluster.jobs.values()) {
    if (hasPlaceableTasks(job, now))
      addWork(work, job.spec, job.readyCount, occupancyS(cluster, job.spec), true);
    // All its dependencies are running. A machine provisioned now should be up when the job becomes ready.
    else if (cluster.dependencies.isAboutToBeReady(job))
      addWork(work, job.spec, job.readyCount, occupancyS(cluster, job.spec), false);
    if (job.activeAttempts.size === 0) continue;
    let remainingS = 0;
    for (const attempt of job.activeAttempts.values())
      remainingS += cluster.estimates.remainingS(attempt, now);
    addWork(work, job.spec, 1, remainingS, false);
  }
  return work;
}

function addWork(
  work: Map<string, LiveWork>,
  spec: JobSpec,
  tasks: number,
  secondsPerTask: number,
  isReady: boolean,
): void {
  const kind = workKindKey(spec);
  const liveWork = work.get(kind) ?? { spec, meanRequest: spec, readyTasks: 0, slotSeconds: 0 };
  const slotSeconds = tasks * secondsPerTask;
  liveWork.meanRequest = weightedMean(
    liveWork.meanRequest,
    liveWork.slotSeconds,
    spec,
    slotSeconds,
  );
  liveWork.slotSeconds += slotSeconds;
  if (isReady) liveWork.readyTasks += tasks;
  work.set(kind, liveWork);
}

/**
 * Returns the demand of one kind of work, with enough slots to work off an excess
 * backlog in `backlogTargetS` seconds. Returns null if the kind has neither work nor a
 * forecast.
 */
function demandOf(
  cluster: ClusterState,
  forecasts: DemandForecasts,
  kind: string,
  work: LiveWork | undefined,
  backlogTargetS: number,
): Demand | null {
  const forecast = forecasts.get(kind);
  const spec = (work ?? forecast)?.spec;
  if (!spec) return null;
  const activeProbability = forecast ? forecasts.activeProbability(forecast) : 0;
  const mean = (forecast?.mean ?? 0) * activeProbability;
  const marginSlots =
    Math.sqrt(forecast?.variance ?? 0) * activeProbability * safetyMargin(cluster, spec);
  const excessSlots =
    Math.max(0, (work?.slotSeconds ?? 0) - expectedRemainingS(mean, forecast)) / backlogTargetS;
  const meanRequest = weightedMean(
    forecast?.meanRequest ?? spec,
    mean + marginSlots,
    work?.meanRequest ?? spec,
    Math.max(0, excessSlots - marginSlots),
  );
  return {
    spec,
    meanRequest,
    slots: mean + Math.max(marginSlots, excessSlots),
    readyTasks: work?.readyTasks ?? 0,
    forecastMean: forecast?.mean ?? 0,
  };
}

/**
 * Returns the slot time that the mean number of running tasks has left, in
 * seconds: on average half of each task's occupancy. Work in excess of it is
 * backlog. The occupancy is a mean over many jobs, because the length of a single
 * job is not representative: the oldest live job is often the longest, and would
 * hide a backlog for its whole lifetime.
 */
function expectedRemainingS(mean: number, forecast: DemandForecast | undefined): number {
  return (mean * (forecast?.occupancyS ?? 0)) / 2;
}

/** Returns the safety margin for the job's class, in standard deviations of its demand. */
function safetyMargin(cluster: ClusterState, spec: JobSpec): number {
  const hasStartObjective = cluster.estimates.startObjectiveS(spec.jobClass) !== null;
  return hasStartObjective ? cluster.policy.waitSafetyMargin : cluster.policy.safetyMargin;
}
