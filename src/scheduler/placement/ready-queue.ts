/** The ready queue: all tasks that may be placed, in the order of placement. */

import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';
import { batchKind } from './batch-kind.js';

/**
 * Limit that the protocol sets on the wait of an accepted job for its first start,
 * whatever its size and even when newer work could still meet its objectives.
 */
const MAX_START_DELAY_MS = 240_000;
/**
 * Share of `MAX_START_DELAY_MS` after which a job that has not started counts as
 * starving. One of its tasks then precedes all other work (docs/design.md, "What
 * was changed, and why").
 */
const STARVING_DELAY_SHARE = 0.5;
/**
 * Lowest step (base-2 logarithm) of the waiting cost. Below it no objective is close
 * enough to matter.
 */
const MIN_COST_STEP = -50;

/**
 * Reports whether the job has tasks to place, has not ended, is not backed off,
 * and has only dependencies that are durably done. A task of an inherited job
 * that no confirmed machine lists may be running on an unconfirmed machine, so
 * the job waits until every inherited machine that its constraints allow is
 * confirmed or terminated.
 */
export function isReady(cluster: ClusterState, job: Job, now: number): boolean {
  return (
    hasPlaceableTasks(job, now) &&
    !(job.inherited && cluster.inheritedMachines.mayRunTasksOf(job.spec))
  );
}

/**
 * Like `isReady`, but ignores unconfirmed machines, because the job needs capacity in
 * either case.
 */
export function hasPlaceableTasks(job: Job, now: number): boolean {
  if (job.backedOffCount > 0) job.releaseBackedOff(now);
  return job.readyCount > 0 && !job.ended && !job.awaitsDependencies && job.backoffUntil <= now;
}

/**
 * Marks the new jobs that fit their team's guaranteed quota together with the
 * team's earlier live jobs. A job that waits for dependencies uses no guaranteed
 * quota until it may run.
 *
 * Each job is checked once, in the first round in which it waits for no
 * dependencies. If jobs were checked again, each would come to fit as earlier ones
 * end, and the oldest work of all teams would precede and preempt work that can
 * still meet its objectives.
 *
 * The result of an earlier leader's check is not stored. An inherited job that
 * has waited past the start objective for guaranteed work counts as not fitting.
 */
function markGuaranteed(cluster: ClusterState, byArrival: Job[], now: number): void {
  const usageByTeam = new Map<string, ResourceUsage>();
  for (const job of byArrival) {
    if (job.awaitsDependencies) continue;
    const { team, cpus, gpus, tasks } = job.spec;
    const usage = usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += cpus * tasks;
    usage.gpus += gpus * tasks;
    usageByTeam.set(team, usage);
    if (job.withinGuarantee !== null) continue;
    const quota = cluster.quotas.get(team);
    job.withinGuarantee =
      !isInheritedPastObjective(cluster, job, now) &&
      quota !== undefined &&
      usage.cpus <= quota.guaranteedCpus + EPSILON &&
      usage.gpus <= quota.guaranteedGpus + EPSILON;
  }
}

/**
 * Reports whether the job is inherited and has waited past the start objective for
 * guaranteed work.
 */
function isInheritedPastObjective(cluster: ClusterState, job: Job, now: number): boolean {
  const { guaranteedStartS } = cluster.objectives;
  return (
    job.inherited && guaranteedStartS !== null && cluster.ageMs(job, now) > guaranteedStartS * 1000
  );
}

/** A ready job that is not starving, with its sort keys. */
interface ReadyJob {
  job: Job;
  /** Objectives that waiting is about to miss, per CPU second. */
  waitingCost: number;
  /** CPU seconds that its ready tasks are expected to take. */
  remainingCpuSeconds: number;
}

/** The ready jobs in order of arrival. */
interface ReadyJobs {
  /** One batch with a single task for each starving job. */
  starving: Batch[];
  others: ReadyJob[];
}

/**
 * Returns the ready queue: one task of each starving job, then the other batches,
 * ordered by priority, then by whether the work is within its team's guarantee,
 * then by the cost of waiting.
 *
 * Under overload, order of arrival would make all jobs late. Preferring only jobs
 * that have missed no objective fails as well: a job that missed its first
 * objective would then miss all later ones. Jobs that can't meet any objective
 * come last, those with the least remaining work first. They don't starve,
 * because one task of each starving job precedes all other work.
 */
export function readyBatches(cluster: ClusterState, now: number): Batch[] {
  const byArrival = [...cluster.jobs.values()].sort((a, b) => a.version - b.version);
  markGuaranteed(cluster, byArrival, now);
  const { starving, others } = collectReadyJobs(cluster, byArrival, now);
  others.sort(
    (a, b) => b.waitingCost - a.waitingCost || a.remainingCpuSeconds - b.remainingCpuSeconds,
  );
  // The sort is stable: batches with equal keys keep the order of their jobs.
  const batches = groupIntoBatches(others).sort(
    (a, b) =>
      a.priority - b.priority ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      b.waitingCostLog2 - a.waitingCostLog2,
  );
  return [...starving, ...batches];
}

function collectReadyJobs(cluster: ClusterState, byArrival: Job[], now: number): ReadyJobs {
  const starving: Batch[] = [];
  const others: ReadyJob[] = [];
  for (const job of byArrival) {
    if (!isReady(cluster, job, now)) continue;
    if (!job.started && cluster.ageMs(job, now) > MAX_START_DELAY_MS * STARVING_DELAY_SHARE)
      starving.push(batchOf(job, MIN_COST_STEP, true));
    else
      others.push({
        job,
        waitingCost: cluster.estimates.waitingCost(job, now + cluster.wallClockOffsetMs),
        remainingCpuSeconds: job.readyCount * job.spec.cpus * cluster.estimates.estimateS(job.spec),
      });
  }
  return { starving, others };
}

function groupIntoBatches(jobs: ReadyJob[]): Batch[] {
  const batches = new Map<string, Batch>();
  for (const { job, waitingCost } of jobs) {
    const costStep = Math.max(MIN_COST_STEP, Math.ceil(Math.log2(waitingCost)));
    const key = batchKey(job, costStep);
    const batch = batches.get(key);
    if (batch) {
      batch.jobs.push(job);
      batch.taskCount += job.readyCount;
    } else batches.set(key, batchOf(job, costStep, false));
  }
  return [...batches.values()];
}

/**
 * Returns a key that is equal for interchangeable tasks. A job with zone rules gets
 * its own batch.
 */
function batchKey(job: Job, costStep: number): string {
  const spec = job.spec;
  return `${costStep}|${job.priority}|${job.withinGuarantee}|${spec.team}|${spec.image}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes}|${spec.zone}|${spec.allowsSpot}|${spec.singleZone || spec.zoneAntiAffinity ? spec.id : ''}`;
}

function batchOf(job: Job, costStep: number, starving: boolean): Batch {
  const { spec, priority } = job;
  const withinGuarantee = job.withinGuarantee === true;
  return {
    spec,
    kind: batchKind({ spec, priority, withinGuarantee, starving }),
    priority,
    withinGuarantee,
    waitingCostLog2: costStep,
    starving,
    jobs: [job],
    taskCount: starving ? 1 : job.readyCount,
  };
}
