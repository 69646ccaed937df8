/**
 * Renewal of an agent's lease on behalf of a leader that neither this follower
 * nor, as far as it can tell, the agent can reach.
 *
 * Without it a network partition between the leader and the rest would end the
 * tasks of every agent on the other side one lease later. The follower replies
 * with the leader's own fencing token, issues no command but the stop of tasks
 * whose job has ended, and stops renewing in time. Why that is safe
 * (docs/design.md, "One bound for cancellations", "Network partitions" and "Copies at a
 * follower"):
 *
 * - Cancellations known to the state service. Whoever renews a lease answers
 *   for every cancellation that was confirmed anywhere. The follower reads the
 *   live key of each job in the heartbeat for this very reply and stops the
 *   tasks of jobs that have ended; when the state service can't be read, it
 *   renews nothing (503). A task of a job that is cancelled later ends by the
 *   next reply, or by the lease.
 * - Starts of the leader that are still under way. A start that the partition
 *   delays may arrive in an agent epoch that is alive only because of this
 *   renewal, after its job was cancelled. So renewal ends `delegatedRenewalMs`
 *   after the leader was last known to lead, a bound derived from `cancel_s`
 *   less the agent's lease. The time counts from the moment at which the
 *   leader said that it leads, not from this agent's first heartbeat here, so
 *   that the bounds of several followers can't add up, and a delayed status
 *   message proves nothing newer than itself.
 * - An agent that does not know of the term. That term's leader has confirmed
 *   nothing to it, so nothing of that leader can be under way, and the time may
 *   count from now, once a term. A heartbeat under an older token does not
 *   prove it: a late copy of one carries the old token too, and would start the
 *   time anew for as long as copies may arrive. So the agent itself is asked:
 *   the reply to one's own request can't be such a copy.
 * - Copies. The reply to a late copy of a heartbeat goes to a connection that
 *   nobody reads, and nothing of what the bound rests on can be a copy.
 */
import type { Timing } from '../../config/timing.js';
import type { Reply } from '../../http/server.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { TaskCommand } from '../../model/task-command.js';
import { fencingToken, heartbeatResponseBody } from '../../protocol/agent-protocol.js';
import { liveJobKey } from '../../records/keys.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { redirectTo } from './heartbeat-replies.js';
import type { RedirectedAgent } from './redirected-agents.js';

/** The latest leader term that this node knows of; null while it knows of none. */
export interface ObservedTerm {
  readonly observedTerm: number | null;
}

/** When a node last said that it leads. */
export interface LeaderActivity {
  /** By this node's clock; null when it never said so in this term. */
  lastLedAt(node: string, term: number): number | null;
}

/** Asks the agent at an address for its heartbeat; rejects when it gives none. */
export type FetchHeartbeat = (address: string) => Promise<Heartbeat>;

/** What renewals on behalf of the leader rest on. */
export interface DelegatedRenewalOptions {
  ctx: Pick<ControllerContext, 'clock' | 'state' | 'log'> & {
    timing: Pick<Timing, 'delegatedRenewalMs'>;
  };
  election: ObservedTerm;
  leaderActivity: LeaderActivity;
  fetchHeartbeat: FetchHeartbeat;
}

/** Renews agents' leases for an unreachable leader, within the bound above. */
export class DelegatedRenewal {
  /** The last term for whose leader leases were renewed: logged once. */
  private loggedTerm = 0;

  constructor(private readonly options: DelegatedRenewalOptions) {}

  /**
   * Replies 200 with the leader's token and stops of ended jobs while renewal
   * is allowed, 421 without a leader when it is not, and 503 when the jobs
   * can't be read.
   */
  async renew(heartbeat: Heartbeat, agent: RedirectedAgent): Promise<Reply> {
    const { ctx, election } = this.options;
    const term = election.observedTerm;
    if (term === null || heartbeat.term > term) return redirectTo(null);
    const nowMs = ctx.clock.now();
    if (
      heartbeat.term < term &&
      agent.unawareOf?.term !== term &&
      (await this.isUnawareOfTerm(heartbeat, term))
    )
      agent.unawareOf = { term, atMs: nowMs };
    if (!this.isWithinBound(agent, term, nowMs)) return redirectTo(null);
    this.logOncePerTerm(term, agent.leader, heartbeat.machineId);
    const stops: TaskCommand[] = [];
    try {
      const endedByJob = new Map<string, boolean>();
      for (const task of heartbeat.tasks) {
        if (task.state === 'exited') continue;
        const { jobId, index, attempt } = task;
        if (!endedByJob.has(jobId)) {
          const live = await ctx.state.get(liveJobKey(jobId), RequestPriority.completions);
          endedByJob.set(jobId, live === null);
        }
        if (endedByJob.get(jobId)) stops.push({ op: 'stop', jobId, index, attempt, graceS: 0 });
      }
    } catch {
      return { status: 503, body: { error: 'the state service is out of reach' } };
    }
    const fence = heartbeat.term === term ? heartbeat.fence : 0;
    return { status: 200, body: heartbeatResponseBody(fencingToken(term, fence), stops) };
  }

  /** The leader's commands that may still be under way to this agent end in time for a cancellation. */
  private isWithinBound(agent: RedirectedAgent, term: number, nowMs: number): boolean {
    const countedFrom = this.boundCountedFrom(agent, term);
    if (countedFrom === null) return false;
    return nowMs - countedFrom <= this.options.ctx.timing.delegatedRenewalMs;
  }

  /** The last moment at which the leader may have sent the agent a start; null: not known. */
  private boundCountedFrom(agent: RedirectedAgent, term: number): number | null {
    if (agent.unawareOf?.term === term) return agent.unawareOf.atMs;
    return this.options.leaderActivity.lastLedAt(agent.leader, term);
  }

  /** Whether the agent itself, asked now, says that it does not know of the term. */
  private async isUnawareOfTerm(heartbeat: Heartbeat, term: number): Promise<boolean> {
    try {
      const fetched = await this.options.fetchHeartbeat(heartbeat.address);
      return fetched.machineId === heartbeat.machineId && fetched.term < term;
    } catch (error) {
      this.options.ctx.log.debug({ err: error }, 'heartbeat not fetched from the agent');
      return false;
    }
  }

  private logOncePerTerm(term: number, leader: string, machine: string): void {
    if (this.loggedTerm !== term)
      this.options.ctx.log.info(
        { term, leader, machine },
        'renewing agent leases for an unreachable leader',
      );
    this.loggedTerm = term;
  }
}
