/** The demand: forecasts and the work at hand become tasks to be run at once, by kind of work. */
import type { DemandForecast } from '../../model/demand-forecast.js';
import type { JobSpec } from '../../model/job.js';
import type { ResourceRequest } from '../../model/resources.js';
import { hasPlaceableTasks } from '../placement/ready-queue.js';
import type { ClusterState } from '../state/cluster-state.js';
import { longestBootS } from './boot-time.js';
import type { DemandForecasts } from './demand-forecasts.js';
import { occupancyS, weightedMean, workKindKey } from './work-kinds.js';

/** What one kind of work asks of the machines. */
export interface Demand {
  /** A job of this kind. */
  spec: JobSpec;
  meanRequest: ResourceRequest;
  /** Tasks to be run at once. */
  slots: number;
  /** Tasks that are ready now. */
  backlog: number;
  /** The mean of the forecast, 0 without one; for the log. */
  forecastMean: number;
}

/** The work of one kind that live jobs have. */
interface LiveWork {
  spec: JobSpec;
  meanRequest: ResourceRequest;
  /** Tasks that may be started now. */
  ready: number;
  /** For how long all of its tasks together occupy their slots. */
  seconds: number;
}

/**
 * The demands, highest priority first. For each kind of work they are the mean
 * of what arrives, a safety margin for arrays arriving whole, and what it takes
 * to work off a backlog beyond the usual.
 */
export function estimateDemands(
  cluster: ClusterState,
  forecasts: DemandForecasts,
  now: number,
): Demand[] {
  // docs/limits-history.md, "Tried without help", has a trial with one boot in all.
  const drainS = longestBootS(cluster.machineTypes) * (1 + cluster.policy.backlogBoots);
  const work = liveWorkByKind(cluster, now);
  const demands: Demand[] = [];
  for (const kind of new Set([...work.keys(), ...forecasts.kinds()])) {
    const demand = demandOf(cluster, forecasts, kind, work.get(kind), drainS);
    if (demand) demands.push(demand);
  }
  // What may run on ordinary machines only chooses first among them.
  return demands.sort(
    (a, b) =>
      a.spec.priority - b.spec.priority || Number(a.spec.allowsSpot) - Number(b.spec.allowsSpot),
  );
}

/** The work of live jobs that is ready, will be ready next, or is under way. */
function liveWorkByKind(cluster: ClusterState, now: number): Map<string, LiveWork> {
  const work = new Map<string, LiveWork>();
  for (const job of cluster.jobs.values()) {
    if (hasPlaceableTasks(job, now))
      addWork(work, job.spec, job.readyCount, occupancyS(cluster, job.spec), true);
    // Its dependencies are running: a machine provisioned now is up by the time that it is ready.
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
  ready: boolean,
): void {
  const kind = workKindKey(spec);
  const known = work.get(kind) ?? { spec, meanRequest: spec, ready: 0, seconds: 0 };
  const seconds = tasks * secondsPerTask;
  known.meanRequest = weightedMean(known.meanRequest, known.seconds, spec, seconds);
  known.seconds += seconds;
  if (ready) known.ready += tasks;
  work.set(kind, known);
}

/** The demand of one kind of work, whose backlog is to be worked off in `drainS` seconds. */
function demandOf(
  cluster: ClusterState,
  forecasts: DemandForecasts,
  kind: string,
  work: LiveWork | undefined,
  drainS: number,
): Demand | null {
  const forecast = forecasts.get(kind);
  const spec = (work ?? forecast)?.spec;
  if (!spec) return null;
  const active = forecast ? forecasts.activeProbability(forecast) : 0;
  const mean = (forecast?.mean ?? 0) * active;
  const margin = Math.sqrt(forecast?.variance ?? 0) * active * safetyMargin(cluster, spec);
  const excess = Math.max(0, (work?.seconds ?? 0) - usualWorkS(mean, forecast)) / drainS;
  const meanRequest = weightedMean(
    forecast?.meanRequest ?? spec,
    mean + margin,
    work?.meanRequest ?? spec,
    Math.max(0, excess - margin),
  );
  return {
    spec,
    meanRequest,
    slots: mean + Math.max(margin, excess),
    backlog: work?.ready ?? 0,
    forecastMean: forecast?.mean ?? 0,
  };
}

/**
 * What is usually left of the work under way, in seconds: half of each task on
 * average (docs/limits-history.md, "What helped, in the order of its size"). One job's
 * length must not stand for all: the oldest live job is often the longest, and
 * would hide a backlog for as long as it lives.
 */
function usualWorkS(mean: number, forecast: DemandForecast | undefined): number {
  return (mean * (forecast?.occupancyS ?? 0)) / 2;
}

/** How many standard deviations of slots the objectives of the job's class are worth. */
function safetyMargin(cluster: ClusterState, spec: JobSpec): number {
  const hasStartObjective = cluster.estimates.startObjectiveS(spec.jobClass) !== null;
  return hasStartObjective ? cluster.policy.waitSafetyMargin : cluster.policy.safetyMargin;
}
