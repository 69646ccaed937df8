/**
 * Renews an agent's lease on behalf of a leader that neither this follower nor,
 * as far as the follower knows, the agent can reach.
 *
 * Without it, a network partition between the leader and the other nodes would
 * end the tasks of every agent on the other side one lease later.
 *
 * The follower responds with the leader's own fencing token, sends no command
 * except stops of tasks whose job has ended, and stops renewing in time. This is
 * safe for these reasons (docs/design.md, "One bound for cancellations", "Network
 * partitions" and "Copies at a follower"):
 *
 * - Cancellations known to the state service. A node that renews a lease must
 *   account for every cancellation confirmed anywhere. For each response the
 *   follower reads the live key of each job in the heartbeat and stops the tasks of
 *   jobs that have ended. When the state service can't be read, it renews nothing
 *   (503). A task of a job that is cancelled later ends by the next response or
 *   when the lease expires.
 * - Starts of the leader that are still in transit. A start delayed by the
 *   partition may arrive in an agent epoch that is alive only because of this
 *   renewal, after its job was cancelled. Renewal therefore ends
 *   `delegatedRenewalMs` after the leader was last known to lead, a bound
 *   derived from `cancel_s` minus the agent's lease.
 * - Start of the bound. It is the time at which the leader announced that it
 *   leads, not the agent's first heartbeat here. So the bounds of several
 *   followers can't add up, and a delayed status message proves nothing newer
 *   than itself.
 * - Agents that do not know the term. The term's leader has not confirmed their
 *   machines, so no start of that leader can be in transit, and the bound may
 *   start now, once per term.
 * - Proof that the agent does not know the term. A heartbeat with an older token is
 *   none: a delayed duplicate also carries the old token and would restart the
 *   bound for as long as duplicates may arrive. The follower therefore requests a
 *   heartbeat from the agent itself; the reply to its own request can't be such a
 *   duplicate.
 * - Duplicates of messages. The response to a delayed duplicate of a heartbeat goes
 *   to a connection that nobody reads, and nothing that the bound depends on can be
 *   a duplicate.
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

/** The latest leader term that this node has observed; null while there is none. */
export interface ObservedTerm {
  readonly observedTerm: number | null;
}

/** Reports when a node last announced that it leads. */
export interface LeaderActivity {
  /**
   * Returns when the announcement was sent, in milliseconds on this node's
   * monotonic clock; null when the node's latest status does not say that it leads
   * in this term.
   */
  lastLedAt(node: string, term: number): number | null;
}

/** Requests a heartbeat from the agent at an address; rejects when it sends none. */
export type FetchHeartbeat = (address: string) => Promise<Heartbeat>;

/** Dependencies of DelegatedRenewal. */
export interface DelegatedRenewalOptions {
  ctx: Pick<ControllerContext, 'clock' | 'state' | 'log'> & {
    timing: Pick<Timing, 'delegatedRenewalMs'>;
  };
  election: ObservedTerm;
  leaderActivity: LeaderActivity;
  fetchHeartbeat: FetchHeartbeat;
}

/** Renews agents' leases for an unreachable leader, within the bound described above. */
export class DelegatedRenewal {
  /** The last term in which a renewal was logged; it is logged once per term. */
  private loggedTerm = 0;

  constructor(private readonly options: DelegatedRenewalOptions) {}

  /**
   * Replies 200 with the leader's token and stop commands for tasks of ended jobs
   * while renewal is allowed, 421 without a leader when it is not, and 503 when
   * the jobs can't be read.
   */
  async renew(heartbeat: Heartbeat, agent: RedirectedAgent): Promise<Reply> {
    const { ctx, election } = this.options;
    const term = election.observedTerm;
    if (term === null || heartbeat.term > term) return redirectTo(null);
    const now = ctx.clock.now();
    if (
      heartbeat.term < term &&
      agent.termUnawareness?.term !== term &&
      (await this.isUnawareOfTerm(heartbeat, term))
    )
      agent.termUnawareness = { term, provenAt: now };
    if (!this.isWithinBound(agent, term, now)) return redirectTo(null);
    this.logOncePerTerm(term, agent.leader, heartbeat.machineId);
    const stopCommands: TaskCommand[] = [];
    try {
      const endedByJob = new Map<string, boolean>();
      for (const task of heartbeat.tasks) {
        if (task.state === 'exited') continue;
        const { jobId, index, attempt } = task;
        if (!endedByJob.has(jobId)) {
          const liveEntry = await ctx.state.get(liveJobKey(jobId), RequestPriority.completions);
          endedByJob.set(jobId, liveEntry === null);
        }
        if (endedByJob.get(jobId))
          stopCommands.push({ op: 'stop', jobId, index, attempt, graceS: 0 });
      }
    } catch {
      return { status: 503, body: { error: 'the state service is out of reach' } };
    }
    const fence = heartbeat.term === term ? heartbeat.fence : 0;
    return { status: 200, body: heartbeatResponseBody(fencingToken(term, fence), stopCommands) };
  }

  /** Reports whether tasks of starts still in transit would end in time for a cancellation. */
  private isWithinBound(agent: RedirectedAgent, term: number, now: number): boolean {
    const startedAt = this.boundStartedAt(agent, term);
    if (startedAt === null) return false;
    return now - startedAt <= this.options.ctx.timing.delegatedRenewalMs;
  }

  /** Returns when the leader may last have sent the agent a start; null when unknown. */
  private boundStartedAt(agent: RedirectedAgent, term: number): number | null {
    if (agent.termUnawareness?.term === term) return agent.termUnawareness.provenAt;
    return this.options.leaderActivity.lastLedAt(agent.leader, term);
  }

  /** Reports whether a heartbeat requested from the agent itself shows an older term. */
  private async isUnawareOfTerm(heartbeat: Heartbeat, term: number): Promise<boolean> {
    try {
      const fetched = await this.options.fetchHeartbeat(heartbeat.address);
      return fetched.machineId === heartbeat.machineId && fetched.term < term;
    } catch (error) {
      this.options.ctx.log.debug(
        { err: error },
        'heartbeat request to the agent failed; assuming that it knows the leader term',
      );
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
