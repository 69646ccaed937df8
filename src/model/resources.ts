/** Amounts of resources and quotas of teams. */

/** Tolerance for comparing amounts, whose sums have rounding errors. */
export const EPSILON = 1e-6;

/** Resources that tasks use, in total. */
export interface ResourceUsage {
  /** CPU cores, which may be fractional. */
  cpus: number;
  gpus: number;
}

/** Resources that one task takes on a machine. */
export interface ResourceRequest {
  /** CPU cores, which may be fractional. */
  cpus: number;
  gpus: number;
  /** Memory in GB. */
  memoryGb: number;
}

/**
 * A team's quota: the resources that it is guaranteed and the maximum that its running
 * tasks may use.
 */
export interface TeamQuota {
  name: string;
  /** Guaranteed CPU cores. */
  guaranteedCpus: number;
  /** Guaranteed GPUs. */
  guaranteedGpus: number;
  /** Maximum of CPU cores. 0 means no maximum. */
  maxCpus: number;
  /** Maximum of GPUs. 0 means no maximum. */
  maxGpus: number;
}
