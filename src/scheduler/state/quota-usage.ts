/** Accounting of the resources that tasks use of their teams' quotas. */
import type { JobSpec } from '../../model/job.js';
import type { ResourceUsage } from '../../model/resources.js';

/**
 * Usage by team. Invariant: a team's usage is the sum over its task attempts
 * on known machines that have not exited. Each attempt must be charged and
 * credited exactly once; otherwise the team could exceed its limit.
 */
export class QuotaUsage {
  /** Resources that each team's task attempts use now. */
  readonly byTeam = new Map<string, ResourceUsage>();
  /** Quota reserved for the first task of a job that has waited for too long. Each placement round sets it anew. */
  readonly reservedByTeam = new Map<string, ResourceUsage>();

  /** Adds the resources of one task of the job. */
  charge(spec: JobSpec): void {
    this.adjust(spec, 1);
  }

  /** Subtracts the resources of one task of the job. */
  credit(spec: JobSpec): void {
    this.adjust(spec, -1);
  }

  private adjust({ team, cpus, gpus }: JobSpec, sign: 1 | -1): void {
    const usage = this.byTeam.get(team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += sign * cpus;
    usage.gpus += sign * gpus;
    this.byTeam.set(team, usage);
  }
}
