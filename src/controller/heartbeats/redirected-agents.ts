/**
 * What a follower remembers of the agents that it redirected to the leader: an
 * agent that comes back shortly afterwards could not reach the leader itself.
 */
import type { Timing } from '../../config/timing.js';

/** Agents without a heartbeat for this many agent leases are forgotten. */
const FORGET_AFTER_LEASES = 5;

/** When, by this node's clock, an agent was shown not to know of a leader term. */
export interface UnawareOfTerm {
  term: number;
  /** Until this moment that term's leader had sent the agent nothing that arrived. */
  atMs: number;
}

/** One agent that sent its heartbeat to this follower, as long as the leader stays the same. */
export class RedirectedAgent {
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private servedSince: number | null = null;
  /** Proof, from the agent itself, that it did not know of a term; null: there is none. */
  unawareOf: UnawareOfTerm | null = null;

  constructor(
    /** The leader that the agent was redirected to. */
    readonly leader: string,
  ) {}

  /** Records a heartbeat; whether the one before came less than `windowMs` ago. */
  recordHeartbeat(nowMs: number, windowMs: number): boolean {
    const returned = nowMs - this.lastHeartbeatAt < windowMs;
    this.lastHeartbeatAt = nowMs;
    return returned;
  }

  /** Heartbeats of this agent are relayed or answered here from now on. */
  startServing(nowMs: number): void {
    this.servedSince ??= nowMs;
  }

  /** The agent is sent to the leader again. */
  stopServing(): void {
    this.servedSince = null;
  }

  /** Heartbeats of this agent have been served here for more than `ms`. */
  isServedForLongerThan(ms: number, nowMs: number): boolean {
    return this.servedSince !== null && nowMs - this.servedSince > ms;
  }

  /** No heartbeat has come from this agent for more than `ms`. */
  isInactiveFor(ms: number, nowMs: number): boolean {
    return nowMs - this.lastHeartbeatAt > ms;
  }
}

/**
 * The redirected agents by machine id. Bound: agents without a heartbeat for
 * FORGET_AFTER_LEASES leases are dropped by a sweep made as often, so it holds
 * no more than the machines that sent a heartbeat here within twice that time.
 */
export class RedirectedAgents {
  private readonly agents = new Map<string, RedirectedAgent>();
  private lastSweepAt = 0;

  constructor(private readonly timing: Pick<Timing, 'agentLeaseMs'>) {}

  /** What is known of the machine's agent under this leader; a new leader starts it anew. */
  get(machineId: string, leader: string): RedirectedAgent {
    let agent = this.agents.get(machineId);
    if (!agent || agent.leader !== leader) {
      agent = new RedirectedAgent(leader);
      this.agents.set(machineId, agent);
    }
    return agent;
  }

  /** Drops inactive agents, unless the last sweep was made a short time ago. */
  forgetInactive(nowMs: number): void {
    const keepMs = this.timing.agentLeaseMs * FORGET_AFTER_LEASES;
    if (nowMs - this.lastSweepAt < keepMs) return;
    this.lastSweepAt = nowMs;
    for (const [machineId, agent] of this.agents)
      if (agent.isInactiveFor(keepMs, nowMs)) this.agents.delete(machineId);
  }
}
