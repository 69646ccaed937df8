/** What tasks use of their teams' quotas. */
import type { JobSpec } from '../../model/job.js';
import type { ResourceUsage } from '../../model/resources.js';

/**
 * Usage by team. Invariant: a team's usage is the sum over its task attempts
 * on known machines that have not exited; whoever adds or ends an attempt
 * charges or credits it exactly once, or the team's limit is overrun.
 */
export class QuotaUsage {
  /** What each team's task attempts use now. */
  readonly byTeam = new Map<string, ResourceUsage>();
  /** Quota that is kept free for the first task of a job that has waited for too long; set anew by each round. */
  readonly reservedByTeam = new Map<string, ResourceUsage>();

  /** A task of the job takes up resources. */
  charge(spec: JobSpec): void {
    this.change(spec, 1);
  }

  /** A task of the job no longer takes up resources. */
  credit(spec: JobSpec): void {
    this.change(spec, -1);
  }

  private change({ team, cpus, gpus }: JobSpec, sign: 1 | -1): void {
    const usage = this.byTeam.get(team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += sign * cpus;
    usage.gpus += sign * gpus;
    this.byTeam.set(team, usage);
  }
}
