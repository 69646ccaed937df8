/** Amounts of resources, and teams' quotas. */

/** Sums of decimal amounts are compared with this much slack. */
export const EPSILON = 1e-6;

/** What tasks use of a team's quota or of machines. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** What one task takes of a machine. */
export interface ResourceRequest {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A team's quota: what it is guaranteed, and the maximum that it may use at a time. */
export interface TeamQuota {
  name: string;
  guaranteedCpus: number;
  guaranteedGpus: number;
  /** 0: no maximum. */
  maxCpus: number;
  /** 0: no maximum. */
  maxGpus: number;
}
