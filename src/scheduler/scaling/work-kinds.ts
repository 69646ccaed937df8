/** Kinds of work, for which demand is estimated, and the slot time and resources of their tasks. */
import type { JobSpec } from '../../model/job.js';
import type { ResourceRequest } from '../../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';

/** Share of task starts that pull the image. All others find it in the machine's cache. */
const IMAGE_PULL_SHARE = 0.3;

/**
 * Returns the key of the job's kind of work: jobs of one class and priority that may
 * run on the same machines.
 */
export function workKindKey(spec: JobSpec): string {
  return `${spec.jobClass}|${spec.priority}|${spec.allowsSpot}|${spec.machineTypes}|${spec.zone}`;
}

/**
 * Returns the mean time for which a task occupies its slot, in seconds, including its
 * share of image pulls.
 */
export function occupancyS(cluster: ClusterState, spec: JobSpec): number {
  let maxPullGbPerS = 0;
  for (const type of cluster.machineTypes.values())
    maxPullGbPerS = Math.max(maxPullGbPerS, type.imagePullGbPerS);
  const pullS = maxPullGbPerS > 0 ? (spec.imageGb / maxPullGbPerS) * IMAGE_PULL_SHARE : 0;
  return cluster.estimates.estimateS(spec) + pullS;
}

/** Returns the weighted mean of two requests, or `second` if both weights are 0. */
export function weightedMean(
  first: ResourceRequest,
  firstWeight: number,
  second: ResourceRequest,
  secondWeight: number,
): ResourceRequest {
  const sum = firstWeight + secondWeight;
  if (sum <= 0) return { cpus: second.cpus, gpus: second.gpus, memoryGb: second.memoryGb };
  const mean = (a: number, b: number) => (a * firstWeight + b * secondWeight) / sum;
  return {
    cpus: mean(first.cpus, second.cpus),
    gpus: mean(first.gpus, second.gpus),
    memoryGb: mean(first.memoryGb, second.memoryGb),
  };
}
