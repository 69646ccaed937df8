import type { Reply } from '../../http/server.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { TaskCommand } from '../../model/task-command.js';
import {
  fencingToken,
  heartbeatResponseBody,
  parseHeartbeat,
  redirectBody,
} from '../../protocol/agent-protocol.js';
import { liveJobKey } from '../../records/keys.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import type { LeaderElection } from '../election/leader-election.js';
import type { Leader } from '../leader/leader.js';
import type { Peers } from '../membership/peers.js';

interface RedirectedAgent {
  /** The leader that it was told of. */
  leader: string;
  seenAt: number;
  /** When it came back and was served here. */
  servedSince: number | null;
  /** A term that it was seen not to know of, and when: until then that term's leader had sent it nothing. */
  unawareOf: { term: number; at: number } | null;
}

/** Guests not heard of for this many worker leases are forgotten. */
const FORGET_AFTER_LEASES = 5;

/**
 * Workers' reports. The leader takes them. Another node names the leader;
 * when a worker comes back all the same, a cut keeps the two apart: the node
 * then passes the report on or, cut off itself, keeps the worker's lease alive
 * with the leader's own token for a while and orders nothing but the end of
 * cancelled work.
 */
export class HeartbeatHandler {
  private readonly redirected = new Map<string, RedirectedAgent>();
  private sweptAt = 0;
  /** The last term for whose silent leader machines were kept: said once in the log. */
  private loggedTerm = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly election: Pick<LeaderElection, 'leader' | 'observedTerm' | 'current'>,
    private readonly leader: () => Leader | null,
    private readonly peers: Pick<
      Peers,
      'isReachable' | 'lastLedAt' | 'forwardHeartbeat' | 'forwardThroughMailbox'
    >,
    /** Asks a machine itself for its report. */
    private readonly fetchHeartbeat: (address: string) => Promise<Heartbeat>,
  ) {}

  async handle(body: Buffer): Promise<Reply> {
    let heartbeat: Heartbeat;
    try {
      heartbeat = parseHeartbeat(JSON.parse(body.toString()));
    } catch (error) {
      return { status: 400, body: { error: String((error as Error).message) } };
    }
    if (this.leader()) return this.handleAsLeader(heartbeat, false);
    const { ctx, election } = this;
    const leader = election.leader;
    if (leader === null || leader === ctx.node) return { status: 421, body: redirectBody(null) };
    const now = ctx.clock.now();
    this.forgetOldAgents(now);
    const reachable = this.peers.isReachable(leader);
    let agent = this.redirected.get(heartbeat.machineId);
    if (!agent || agent.leader !== leader) {
      agent = {
        leader,
        seenAt: Number.NEGATIVE_INFINITY,
        servedSince: null,
        unawareOf: null,
      };
      this.redirected.set(heartbeat.machineId, agent);
    }
    const returned = now - agent.seenAt < ctx.timing.heartbeatMs * 4;
    agent.seenAt = now;
    // Now and then one that is served here is sent on all the same: the cut may be over.
    const long = agent.servedSince !== null && now - agent.servedSince > ctx.timing.agentLeaseMs;
    if (reachable && (!returned || long)) {
      agent.servedSince = null;
      return { status: 421, body: redirectBody(leader) };
    }
    agent.servedSince ??= now;
    try {
      return reachable
        ? await this.peers.forwardHeartbeat(leader, body)
        : await this.peers.forwardThroughMailbox(leader, heartbeat.machineId, body);
    } catch (error) {
      ctx.log.debug({ error: String((error as Error).message) }, 'report not passed on');
    }
    // The worker would wait in vain at a leader that is silent here too: it is kept without a detour.
    return this.renewOnBehalfOfLeader(heartbeat, agent);
  }

  /** A report that a peer passed on, or one of our own. */
  async handleAsLeader(heartbeat: Heartbeat, relayed: boolean): Promise<Reply> {
    // Before the jobs are read no lease may be renewed; a moment later its orders go with the answer.
    await this.leader()?.untilReady();
    const leader = this.leader();
    const term = this.election.current;
    if (!leader || !term) return { status: 421, body: redirectBody(null) };
    if (heartbeat.term > term.number) {
      // The worker has answered to a later leader.
      term.resign('a report carries a higher token');
      return { status: 421, body: redirectBody(null) };
    }
    if (!term.mayRenewAgentLeases())
      return { status: 503, body: { error: 'leadership is not proven' } };
    const { orders, fence } = leader.handleHeartbeat(heartbeat, relayed);
    return { status: 200, body: heartbeatResponseBody(fencingToken(term.number, fence), orders) };
  }

  private async renewOnBehalfOfLeader(
    heartbeat: Heartbeat,
    agent: RedirectedAgent,
  ): Promise<Reply> {
    const { ctx, election } = this;
    const term = election.observedTerm;
    const away = { status: 421, body: redirectBody(null) };
    if (term === null || heartbeat.term > term) return away;
    const now = ctx.clock.now();
    if (
      heartbeat.term < term &&
      agent.unawareOf?.term !== term &&
      (await this.isUnawareOfTerm(heartbeat, term))
    )
      agent.unawareOf = { term, at: now };
    const from = this.mayHoldStartsFrom(agent, term);
    if (from === null || now - from > ctx.timing.delegatedRenewalMs) return away;
    this.noteKeeping(term, agent.leader, heartbeat.machineId);
    const commands: TaskCommand[] = [];
    try {
      // Whoever answers a worker answers for the cancellations too.
      const over = new Map<string, boolean>();
      for (const task of heartbeat.tasks) {
        if (task.state === 'exited') continue;
        if (!over.has(task.jobId))
          over.set(
            task.jobId,
            (await ctx.state.get(liveJobKey(task.jobId), RequestPriority.ends)) === null,
          );
        if (over.get(task.jobId))
          commands.push({
            op: 'stop',
            jobId: task.jobId,
            index: task.index,
            attempt: task.attempt,
            graceS: 0,
          });
      }
    } catch {
      return { status: 503, body: { error: 'the state service is out of reach' } };
    }
    const fence = heartbeat.term === term ? heartbeat.fence : 0;
    return { status: 200, body: heartbeatResponseBody(fencingToken(term, fence), commands) };
  }

  /**
   * A start of that leader may be held back by the cut, and reach a session that is kept alive.
   * Its time is counted from when the leader fell silent, so that several nodes can't add theirs
   * up; a machine that learns of the term only here can have no such start on its way.
   */
  private mayHoldStartsFrom(agent: RedirectedAgent, term: number): number | null {
    if (agent.unawareOf?.term === term) return agent.unawareOf.at;
    return this.peers.lastLedAt(agent.leader, term);
  }

  /** Logged once a term. */
  private noteKeeping(term: number, leader: string, machine: string): void {
    if (this.loggedTerm !== term)
      this.ctx.log.info({ term, leader, machine }, 'keeping cut-off machines');
    this.loggedTerm = term;
  }

  /**
   * The machine does not know of the term. Its report alone does not show
   * that: a late copy carries an old token for as long as copies may last,
   * and would start the time for which the machine is kept anew.
   */
  private async isUnawareOfTerm(heartbeat: Heartbeat, term: number): Promise<boolean> {
    try {
      const shown = await this.fetchHeartbeat(heartbeat.address);
      return shown.machineId === heartbeat.machineId && shown.term < term;
    } catch (error) {
      this.ctx.log.debug({ error: String((error as Error).message) }, 'machine not asked');
      return false;
    }
  }

  private forgetOldAgents(now: number): void {
    const keep = this.ctx.timing.agentLeaseMs * FORGET_AFTER_LEASES;
    if (now - this.sweptAt < keep) return;
    this.sweptAt = now;
    for (const [id, g] of this.redirected) if (now - g.seenAt > keep) this.redirected.delete(id);
  }
}
