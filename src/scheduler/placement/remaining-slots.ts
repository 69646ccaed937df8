/** How many more tasks a team's quota and a job's zone rules allow. */
import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';

const NO_USAGE: ResourceUsage = { cpus: 0, gpus: 0 };

/** More tasks than any batch has: a quota without a maximum bounds nothing. */
const UNBOUNDED_SLOTS = 1e9;

/**
 * How many more of the job's tasks may be placed in the zone beside those on
 * machines now: with zone affinity all tasks run in one zone, with zone
 * anti-affinity no zone has more than half of them.
 */
export function remainingZoneSlots(job: Job, zone: string): number {
  const { singleZone, zoneAntiAffinity, tasks } = job.spec;
  if (singleZone)
    for (const [otherZone, attempts] of job.attemptsByZone)
      if (attempts > 0 && otherZone !== zone) return 0;
  if (!zoneAntiAffinity) return tasks;
  return Math.ceil(tasks / 2) - (job.attemptsByZone.get(zone) ?? 0);
}

/**
 * How many more tasks of the batch the team's maximum allows. `unconfirmed`,
 * what tasks on unconfirmed machines may use, counts as used, and so does the
 * quota that is reserved for a starving job of the team.
 */
export function remainingQuotaSlots(
  cluster: ClusterState,
  batch: Batch,
  unconfirmed: ResourceUsage,
): number {
  const { spec } = batch;
  const quota = cluster.quotas.get(spec.team);
  if (!quota) return 0;
  const usage = cluster.quotaUsage.get(spec.team) ?? NO_USAGE;
  const reserved = batch.starving ? NO_USAGE : (cluster.reservedQuota.get(spec.team) ?? NO_USAGE);
  const cpus = quota.maxCpus - usage.cpus - unconfirmed.cpus - reserved.cpus + EPSILON;
  const gpus = quota.maxGpus - usage.gpus - unconfirmed.gpus - reserved.gpus + EPSILON;
  let slots = UNBOUNDED_SLOTS;
  if (quota.maxCpus > 0 && spec.cpus > 0) slots = Math.min(slots, Math.floor(cpus / spec.cpus));
  if (quota.maxGpus > 0 && spec.gpus > 0) slots = Math.min(slots, Math.floor(gpus / spec.gpus));
  return Math.max(0, slots);
}

/** Reserves the quota of one task of a starving batch, so that smaller tasks of its team leave it free. */
export function reserveQuota(cluster: ClusterState, batch: Batch): void {
  const { team, cpus, gpus } = batch.spec;
  if (batch.starving && !cluster.reservedQuota.has(team))
    cluster.reservedQuota.set(team, { cpus, gpus });
}
