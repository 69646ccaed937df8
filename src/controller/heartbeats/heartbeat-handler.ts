/**
 * Handles agents' heartbeats on any controller, leader or follower.
 *
 * The leader processes them. A follower redirects the agent to the leader (421).
 * An agent that returns nevertheless is separated from the leader by a network
 * partition. The follower then relays its heartbeat through a peer connection
 * or through the mailbox in the state service. If that fails too, it renews the
 * agent's lease on behalf of the leader for a limited time.
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

/** Relays heartbeats from a follower to the leader. */
export interface HeartbeatRelay extends LeaderActivity {
  /** Reports whether the node is connected and its status messages arrive. */
  isReachable(node: string): boolean;
  /** Relays a heartbeat through a peer connection; rejects when no response arrives. */
  relayHeartbeat(node: string, body: Buffer): Promise<Reply>;
  /** Relays a heartbeat through the state service's mailbox; rejects when no response arrives. */
  relayThroughMailbox(node: string, machineId: string, body: Buffer): Promise<Reply>;
}

/** Dependencies of HeartbeatHandler. */
export interface HeartbeatHandlerOptions {
  ctx: ControllerContext;
  election: Pick<LeaderElection, 'leaderNode' | 'observedTerm' | 'currentTerm'>;
  /** Returns the leader running in this process; null while this node does not lead. */
  leader: () => Leader | null;
  peers: HeartbeatRelay;
  /** Requests a heartbeat directly from an agent. */
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

  /** Handles a heartbeat request from an agent; replies 400 when the body is malformed. */
  async handle(body: Buffer): Promise<Reply> {
    let heartbeat: Heartbeat;
    try {
      heartbeat = parseHeartbeat(JSON.parse(body.toString()));
    } catch (error) {
      return { status: 400, body: { error: (error as Error).message } };
    }
    const { ctx, election, peers } = this.options;
    if (this.options.leader()) return this.handleAsLeader(heartbeat, false);
    const { leaderNode: leader } = election;
    if (leader === null || leader === ctx.node) return redirectTo(null);
    const now = ctx.clock.now();
    this.redirected.forgetInactive(now);
    const reachable = peers.isReachable(leader);
    const agent = this.redirected.get(heartbeat.machineId, leader);
    if (this.shouldRedirect(agent, reachable, now)) {
      agent.stopServing();
      return redirectTo(leader);
    }
    agent.startServing(now);
    try {
      return reachable
        ? await peers.relayHeartbeat(leader, body)
        : await peers.relayThroughMailbox(leader, heartbeat.machineId, body);
    } catch (error) {
      ctx.log.debug(
        { err: error },
        'heartbeat relay to the leader failed; trying delegated lease renewal',
      );
    }
    // The leader is not reachable from here either, so a redirect would only delay the agent.
    return this.delegatedRenewal.renew(heartbeat, agent);
  }

  /** Handles a heartbeat as the leader. `relayed` is true when it arrived through a peer or the mailbox. */
  async handleAsLeader(heartbeat: Heartbeat, relayed: boolean): Promise<Reply> {
    // No lease may be renewed before the jobs are read. Waiting for that also lets the first
    // response carry commands.
    await this.options.leader()?.waitUntilReady();
    const leader = this.options.leader();
    const term = this.options.election.currentTerm;
    if (!leader || !term) return redirectTo(null);
    if (heartbeat.term > term.number) {
      // The agent has already accepted the token of a later leader.
      term.resign('heartbeat carries a higher fencing token');
      return redirectTo(null);
    }
    if (!term.mayRenewAgentLeases())
      return { status: 503, body: { error: 'leadership is not proven' } };
    const { commands, fence } = leader.handleHeartbeat(heartbeat, relayed);
    return { status: 200, body: heartbeatResponseBody(fencingToken(term.number, fence), commands) };
  }

  /**
   * Records the heartbeat and reports whether to redirect the agent: the leader
   * is reachable from here, and the agent has not just returned from a redirect.
   * An agent served here for longer than a lease is redirected once nevertheless,
   * since the partition may have ended.
   */
  private shouldRedirect(agent: RedirectedAgent, reachable: boolean, now: number): boolean {
    const { heartbeatMs, agentLeaseMs } = this.options.ctx.timing;
    const returned = agent.recordHeartbeat(now, heartbeatMs * RETURN_WINDOW_HEARTBEATS);
    const servedForLong = agent.isServedForLongerThan(agentLeaseMs, now);
    return reachable && (!returned || servedForLong);
  }
}
