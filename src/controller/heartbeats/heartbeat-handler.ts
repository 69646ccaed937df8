/**
 * Agents' heartbeats at one controller, leader or not.
 *
 * The leader handles them. A follower redirects the agent to the leader (421).
 * An agent that comes back all the same is cut off from the leader by a network
 * partition: the follower then relays its heartbeat through a peer connection
 * or through the mailbox in the state service, and when that fails as well, it
 * renews the agent's lease on behalf of the leader for a while.
 */
import type { Reply } from '../../http/server.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import {
  fencingToken,
  heartbeatResponseBody,
  parseHeartbeat,
} from '../../protocol/agent-protocol.js';
import type { ControllerContext } from '../context.js';
import type { LeaderElection } from '../election/leader-election.js';
import type { Leader } from '../leader/leader.js';
import { DelegatedRenewal, type FetchHeartbeat, type LeaderActivity } from './delegated-renewal.js';
import { redirectTo } from './heartbeat-replies.js';
import { type RedirectedAgent, RedirectedAgents } from './redirected-agents.js';

/** An agent that returns within this many heartbeat intervals could not reach the leader. */
const RETURN_WINDOW_HEARTBEATS = 4;

/** The ways from a follower to the leader. */
export interface HeartbeatRelay extends LeaderActivity {
  /** The node's status messages come through. */
  isReachable(node: string): boolean;
  /** Relays a heartbeat through a peer connection; rejects when no reply comes. */
  forwardHeartbeat(node: string, body: Buffer): Promise<Reply>;
  /** Relays it through the mailbox in the state service; rejects when no reply comes. */
  forwardThroughMailbox(node: string, machineId: string, body: Buffer): Promise<Reply>;
}

/** What the handler needs of the rest of its controller. */
export interface HeartbeatHandlerOptions {
  ctx: ControllerContext;
  election: Pick<LeaderElection, 'leader' | 'observedTerm' | 'current'>;
  /** The running leader of this process; null while it does not lead. */
  leader: () => Leader | null;
  peers: HeartbeatRelay;
  /** Asks an agent itself for its heartbeat. */
  fetchHeartbeat: FetchHeartbeat;
}

/** Handles, redirects or relays heartbeats, and renews leases for an unreachable leader. */
export class HeartbeatHandler {
  private readonly redirected: RedirectedAgents;
  private readonly delegatedRenewal: DelegatedRenewal;

  constructor(private readonly options: HeartbeatHandlerOptions) {
    const { ctx, election, peers, fetchHeartbeat } = options;
    this.redirected = new RedirectedAgents(ctx.timing);
    this.delegatedRenewal = new DelegatedRenewal({
      ctx,
      election,
      leaderActivity: peers,
      fetchHeartbeat,
    });
  }

  /** A heartbeat as an agent sent it; 400 when it is malformed. */
  async handle(body: Buffer): Promise<Reply> {
    let heartbeat: Heartbeat;
    try {
      heartbeat = parseHeartbeat(JSON.parse(body.toString()));
    } catch (error) {
      return { status: 400, body: { error: (error as Error).message } };
    }
    const { ctx, election, peers } = this.options;
    if (this.options.leader()) return this.handleAsLeader(heartbeat, false);
    const { leader } = election;
    if (leader === null || leader === ctx.node) return redirectTo(null);
    const nowMs = ctx.clock.now();
    this.redirected.forgetInactive(nowMs);
    const reachable = peers.isReachable(leader);
    const agent = this.redirected.get(heartbeat.machineId, leader);
    if (this.shouldRedirect(agent, reachable, nowMs)) {
      agent.stopServing();
      return redirectTo(leader);
    }
    agent.startServing(nowMs);
    try {
      return reachable
        ? await peers.forwardHeartbeat(leader, body)
        : await peers.forwardThroughMailbox(leader, heartbeat.machineId, body);
    } catch (error) {
      ctx.log.debug({ err: error }, 'heartbeat not relayed');
    }
    // Redirecting the agent to a leader that is unreachable from here too would only cost it time.
    return this.delegatedRenewal.renew(heartbeat, agent);
  }

  /** Handles a heartbeat as the leader; `relayed`: it came through a peer or the mailbox. */
  async handleAsLeader(heartbeat: Heartbeat, relayed: boolean): Promise<Reply> {
    // No lease may be renewed before the jobs are read. Waiting lets the first reply carry commands too.
    await this.options.leader()?.untilReady();
    const leader = this.options.leader();
    const term = this.options.election.current;
    if (!leader || !term) return redirectTo(null);
    if (heartbeat.term > term.number) {
      // The agent has accepted a token of a later leader.
      term.resign('heartbeat carries a higher fencing token');
      return redirectTo(null);
    }
    if (!term.mayRenewAgentLeases())
      return { status: 503, body: { error: 'leadership is not proven' } };
    const { commands, fence } = leader.handleHeartbeat(heartbeat, relayed);
    return { status: 200, body: heartbeatResponseBody(fencingToken(term.number, fence), commands) };
  }

  /**
   * An agent is redirected to a leader that is reachable from here, unless it
   * just comes from there. One that is served here for longer than a lease is
   * redirected once all the same, since the partition may have ended.
   */
  private shouldRedirect(agent: RedirectedAgent, reachable: boolean, nowMs: number): boolean {
    const { heartbeatMs, agentLeaseMs } = this.options.ctx.timing;
    const returned = agent.recordHeartbeat(nowMs, heartbeatMs * RETURN_WINDOW_HEARTBEATS);
    const servedForLong = agent.isServedForLongerThan(agentLeaseMs, nowMs);
    return reachable && (!returned || servedForLong);
  }
}
