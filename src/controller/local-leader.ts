/** The leader that this process runs while it holds a leader term. */
import { AgentClient } from '../clients/agent-client.js';
import type { CloudClient } from '../clients/cloud-client.js';
import type { SchedulerPolicy } from '../model/policy.js';
import type { TaskCounts } from './api/job-status.js';
import type { ControllerContext } from './context.js';
import type { LeaderTerm } from './election/leader-term.js';
import { Leader } from './leader/leader.js';
import { totalCommandSockets } from './leader/scheduler-configuration.js';

/**
 * Runs a `Leader` for each term that this controller wins, and gives the other
 * components access to it. Invariant: `current` is null unless the leader's
 * routines run.
 */
export class LocalLeader {
  current: Leader | null = null;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly cloud: CloudClient,
    private readonly policy: SchedulerPolicy,
  ) {}

  /** Runs the leader's routines until the term ends. */
  async run(term: LeaderTerm): Promise<void> {
    const { platform, timing } = this.ctx;
    const agents = new AgentClient(timing.commandTimeoutMs, totalCommandSockets(platform));
    const leader = new Leader({
      ctx: this.ctx,
      cloud: this.cloud,
      term,
      policy: this.policy,
      agents,
    });
    this.current = leader;
    try {
      await leader.run();
    } finally {
      this.current = null;
    }
  }

  /** Returns the task counts of a live job, for display only; null unless this controller leads and knows the job. */
  taskCountsOf(jobId: string): TaskCounts | null {
    const job = this.current?.cluster.jobs.get(jobId);
    return job ? { done: job.doneCount, running: job.activeAttempts.size } : null;
  }

  /** Passes a durable cancellation to the leader, if this controller leads, so that no more tasks of the job start. */
  announceCancellation(jobId: string, revision: number): void {
    this.current?.announceCancellation(jobId, revision);
  }
}
