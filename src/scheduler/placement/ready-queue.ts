import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/job.js';

/** Every accepted job, the largest ones too, begins within this, whatever fresher work could still meet (protocol). */
const MAX_START_DELAY_MS = 240_000;
/** From this part of it on a job that has not begun goes first with one task. */
const STARVING_SHARE = 0.5;
/** Below this step of waitingCost no aim is near enough to matter. */
const MIN_COST_STEP = -50;

/**
 * Ready: accepted, not over, not held back, and every job upstream durably
 * done. A task of an inherited job that shows on no confirmed
 * machine may run on an unconfirmed one, so it waits for the last of those
 * that its job allows.
 */
export function isReady(cluster: ClusterState, job: Job, now: number): boolean {
  return (
    hasPlaceableTasks(job, now) && !(job.inherited && cluster.inheritedMachines.mayHold(job.spec))
  );
}

/** The same but for what an unconfirmed machine may hold: it will need room all the same. */
export function hasPlaceableTasks(job: Job, now: number): boolean {
  if (job.backedOffCount > 0) job.releaseBackedOff(now);
  return job.readyCount > 0 && !job.ended && !job.awaitsDependencies && job.backoffUntil <= now;
}

/**
 * Marks new jobs that fit their team's guarantee together with the team's
 * earlier unfinished ones. What an earlier leader saw of an inherited job is
 * not known: past the aim on guaranteed work it counts as not having fitted.
 * A job that waits for others holds no part of it until it may run.
 */
function markGuaranteed(cluster: ClusterState, byArrival: Job[], now: number): void {
  const sums = new Map<string, ResourceUsage>();
  for (const job of byArrival) {
    if (job.awaitsDependencies) continue;
    const { team, cpus, gpus, tasks } = job.spec;
    const sum = sums.get(team) ?? { cpus: 0, gpus: 0 };
    sum.cpus += cpus * tasks;
    sum.gpus += gpus * tasks;
    sums.set(team, sum);
    if (job.withinGuarantee !== null) continue;
    const quota = cluster.quotas.get(team);
    const late =
      job.inherited &&
      cluster.objectives.guaranteedStartS !== null &&
      cluster.ageMs(job, now) > cluster.objectives.guaranteedStartS * 1000;
    job.withinGuarantee =
      !late &&
      quota !== undefined &&
      sum.cpus <= quota.guaranteedCpus + EPSILON &&
      sum.gpus <= quota.guaranteedGpus + EPSILON;
  }
}

function batchKey(job: Job, costStep: number): string {
  const spec = job.spec;
  return `${costStep}|${job.priority}|${job.withinGuarantee}|${spec.team}|${spec.image}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.machineTypes}|${spec.zone}|${spec.allowsSpot}|${spec.singleZone || spec.zoneAntiAffinity ? spec.id : ''}`;
}

/**
 * One pooled ready list: rank first, then work within its team's guarantee,
 * then what waiting is about to cost. When more is asked than can be done,
 * strict arrival would make everybody late, and so would letting only what
 * has missed nothing pass: work that waited a little would miss every later
 * aim as well. Jobs that can't meet any aim any more come last, the one with
 * the least left first. Nothing starves by that: a job that has not begun for
 * long goes before everything with one task.
 */
export function readyBatches(cluster: ClusterState, now: number): Batch[] {
  const byArrival = [...cluster.jobs.values()].sort((a, b) => a.version - b.version);
  markGuaranteed(cluster, byArrival, now);
  const ready: { job: Job; waitingCost: number; work: number }[] = [];
  const aged: Batch[] = [];
  for (const job of byArrival) {
    if (!isReady(cluster, job, now)) continue;
    const waitingCost = cluster.estimates.waitingCost(job, now + cluster.wallClockOffset);
    const work = job.readyCount * job.spec.cpus * cluster.estimates.estimateS(job.spec);
    if (!job.started && cluster.ageMs(job, now) > MAX_START_DELAY_MS * STARVING_SHARE)
      aged.push(batchOf(job, MIN_COST_STEP, true));
    else ready.push({ job, waitingCost, work });
  }
  ready.sort((a, b) => b.waitingCost - a.waitingCost || a.work - b.work);
  const batches = new Map<string, Batch>();
  for (const { job, waitingCost } of ready) {
    const costStep = Math.max(MIN_COST_STEP, Math.ceil(Math.log2(waitingCost)));
    const key = batchKey(job, costStep);
    const batch = batches.get(key);
    if (batch) {
      batch.jobs.push(job);
      batch.count += job.readyCount;
    } else batches.set(key, batchOf(job, costStep, false));
  }
  // The sort is stable: beyond this, the order of the jobs decides.
  const rest = [...batches.values()].sort(
    (a, b) =>
      a.priority - b.priority ||
      Number(b.withinGuarantee) - Number(a.withinGuarantee) ||
      b.costStep - a.costStep,
  );
  return [...aged, ...rest];
}

function batchOf(job: Job, costStep: number, aged: boolean): Batch {
  return {
    spec: job.spec,
    priority: job.priority,
    withinGuarantee: job.withinGuarantee === true,
    costStep,
    starving: aged,
    jobs: [job],
    count: aged ? 1 : job.readyCount,
  };
}
