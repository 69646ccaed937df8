/** The ready queue: all tasks that may be placed, in the order in which they are. */

import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';

/** Every accepted job, however large, starts within this, whatever fresher work could still meet (protocol). */
const MAX_START_DELAY_MS = 240_000;
/**
 * From this share of it on a job that has not started is starving and goes
 * first with one task (docs/design.md, "What was changed, and why").
 */
const STARVING_SHARE = 0.5;
/** Below this step of the waiting cost no objective is near enough to matter. */
const MIN_COST_STEP = -50;

/**
 * Ready: accepted, not ended, not backed off, and every dependency durably
 * done. A task of an inherited job that shows on no confirmed machine may run
 * on an unconfirmed one, so it waits for the last of those that its job allows.
 */
export function isReady(cluster: ClusterState, job: Job, now: number): boolean {
  return (
    hasPlaceableTasks(job, now) && !(job.inherited && cluster.inheritedMachines.mayHold(job.spec))
  );
}

/** The same without regard to unconfirmed machines: the job needs capacity in either case. */
export function hasPlaceableTasks(job: Job, now: number): boolean {
  if (job.backedOffCount > 0) job.releaseBackedOff(now);
  return job.readyCount > 0 && !job.ended && !job.awaitsDependencies && job.backoffUntil <= now;
}

/**
 * Marks new jobs that fit their team's guaranteed quota together with the
 * team's earlier unfinished ones. A job is judged once, on its arrival
 * (docs/limits-history.md, "What helped, in the order of its size"). How an earlier
 * leader judged an inherited job is not known: past the objective on guaranteed
 * work it counts as not having fitted. A job that waits for dependencies uses
 * no guaranteed quota until it may run.
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
      !isInheritedLate(cluster, job, now) &&
      quota !== undefined &&
      usage.cpus <= quota.guaranteedCpus + EPSILON &&
      usage.gpus <= quota.guaranteedGpus + EPSILON;
  }
}

/** Whether the job is inherited and has waited past the objective on guaranteed work. */
function isInheritedLate(cluster: ClusterState, job: Job, now: number): boolean {
  const { guaranteedStartS } = cluster.objectives;
  return (
    job.inherited && guaranteedStartS !== null && cluster.ageMs(job, now) > guaranteedStartS * 1000
  );
}

/** A ready job that is not starving, and what it is ordered by. */
interface ReadyJob {
  job: Job;
  waitingCost: number;
  /** CPU seconds of its ready tasks. */
  work: number;
}

/** The ready jobs in the order of their arrival. */
interface ReadyJobs {
  /** One batch of one task for each starving job. */
  starving: Batch[];
  others: ReadyJob[];
}

/**
 * The ready queue: priority first, then work within its team's guarantee, then
 * what waiting is about to cost. When more is asked than can be done, strict
 * arrival would make everybody late, and so would letting only what has missed
 * nothing pass: work that waited a little would miss every later objective as
 * well. Jobs that can't meet any objective any more come last, the one with the
 * least left first. Nothing starves by that: a job that has not started for
 * long goes before everything with one task.
 */
export function readyBatches(cluster: ClusterState, now: number): Batch[] {
  const byArrival = [...cluster.jobs.values()].sort((a, b) => a.version - b.version);
  markGuaranteed(cluster, byArrival, now);
  const { starving, others } = collectReadyJobs(cluster, byArrival, now);
  others.sort((a, b) => b.waitingCost - a.waitingCost || a.work - b.work);
  // The sort is stable: beyond this, the order of the jobs decides.
  const batches = groupIntoBatches(others).sort(
    (a, b) =>
      a.priority - b.priority ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      b.costStep - a.costStep,
  );
  return [...starving, ...batches];
}

function collectReadyJobs(cluster: ClusterState, byArrival: Job[], now: number): ReadyJobs {
  const starving: Batch[] = [];
  const others: ReadyJob[] = [];
  for (const job of byArrival) {
    if (!isReady(cluster, job, now)) continue;
    if (!job.started && cluster.ageMs(job, now) > MAX_START_DELAY_MS * STARVING_SHARE)
      starving.push(batchOf(job, MIN_COST_STEP, true));
    else
      others.push({
        job,
        waitingCost: cluster.estimates.waitingCost(job, now + cluster.wallClockOffset),
        work: job.readyCount * job.spec.cpus * cluster.estimates.estimateS(job.spec),
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
      batch.count += job.readyCount;
    } else batches.set(key, batchOf(job, costStep, false));
  }
  return [...batches.values()];
}

/** Tasks with equal keys are interchangeable; a job with zone rules is a batch of its own. */
function batchKey(job: Job, costStep: number): string {
  const spec = job.spec;
  return `${costStep}|${job.priority}|${job.withinGuarantee}|${spec.team}|${spec.image}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes}|${spec.zone}|${spec.allowsSpot}|${spec.singleZone || spec.zoneAntiAffinity ? spec.id : ''}`;
}

function batchOf(job: Job, costStep: number, starving: boolean): Batch {
  return {
    spec: job.spec,
    priority: job.priority,
    withinGuarantee: job.withinGuarantee === true,
    costStep,
    starving,
    jobs: [job],
    count: starving ? 1 : job.readyCount,
  };
}
