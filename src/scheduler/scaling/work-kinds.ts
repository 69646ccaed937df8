/** Kinds of work, for which demand is estimated, and what a task of a kind takes. */
import type { JobSpec } from '../../model/job.js';
import type { ResourceRequest } from '../../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';

/** The share of starts that fetch their image: the others find it in the machine's cache. */
const IMAGE_PULL_SHARE = 0.3;

/** Names the job's kind of work: jobs of a class that may run on the same machines at the same priority. */
export function workKindKey(spec: JobSpec): string {
  return `${spec.jobClass}|${spec.priority}|${spec.allowsSpot}|${spec.machineTypes}|${spec.zone}`;
}

/** How long a task occupies its slot, in seconds: its run and, now and then, the fetch of its image. */
export function occupancyS(cluster: ClusterState, spec: JobSpec): number {
  let rate = 0;
  for (const type of cluster.machineTypes.values()) rate = Math.max(rate, type.imagePullGbPerS);
  const pullS = rate > 0 ? (spec.imageGb / rate) * IMAGE_PULL_SHARE : 0;
  return cluster.estimates.estimateS(spec) + pullS;
}

/** The mean of two requests by weight; the second when neither weighs anything. */
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
