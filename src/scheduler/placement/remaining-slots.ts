/** Limits that a team's quota and a job's zone rules set on further tasks. */
import { EPSILON, type ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job } from '../state/task-attempt.js';

const NO_USAGE: ResourceUsage = { cpus: 0, gpus: 0 };

/** Returned for a quota without a maximum. Larger than any batch. */
const UNBOUNDED_SLOTS = 1e9;

/**
 * Returns how many more tasks of the job may be placed in the zone, given those
 * on machines now. With zone affinity all tasks run in one zone. With zone
 * anti-affinity no zone runs more than half of the tasks, rounded up.
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
 * Returns how many more tasks of the batch the team's maximum quota allows.
 * `unconfirmedUsage`, the resources that unconfirmed machines and unknown tasks may
 * use, counts as used. So does the quota reserved for a starving job of the team,
 * unless the batch is starving.
 */
export function remainingQuotaSlots(
  cluster: ClusterState,
  batch: Batch,
  unconfirmedUsage: ResourceUsage,
): number {
  const { spec } = batch;
  const quota = cluster.quotas.get(spec.team);
  if (!quota) return 0;
  const usage = cluster.quotaUsage.get(spec.team) ?? NO_USAGE;
  const reserved = batch.starving ? NO_USAGE : (cluster.reservedQuota.get(spec.team) ?? NO_USAGE);
  const cpus = quota.maxCpus - usage.cpus - unconfirmedUsage.cpus - reserved.cpus + EPSILON;
  const gpus = quota.maxGpus - usage.gpus - unconfirmedUsage.gpus - reserved.gpus + EPSILON;
  let slots = UNBOUNDED_SLOTS;
  if (quota.maxCpus > 0 && spec.cpus > 0) slots = Math.min(slots, Math.floor(cpus / spec.cpus));
  if (quota.maxGpus > 0 && spec.gpus > 0) slots = Math.min(slots, Math.floor(gpus / spec.gpus));
  return Math.max(0, slots);
}

/**
 * Reserves quota for one task of a starving batch, so that smaller tasks of its
 * team don't use it. A team has at most one such reservation.
 */
export function reserveQuota(cluster: ClusterState, batch: Batch): void {
  const { team, cpus, gpus } = batch.spec;
  if (batch.starving && !cluster.reservedQuota.has(team))
    cluster.reservedQuota.set(team, { cpus, gpus });
}
