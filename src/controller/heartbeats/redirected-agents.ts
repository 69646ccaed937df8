/**
 * Tracks the agents that a follower redirected to the leader. An agent that
 * returns shortly after a redirect could not reach the leader itself.
 */
import type { Timing } from '../../config/timing.js';

/** Agents without a heartbeat for this many agent leases are forgotten. */
const FORGET_AFTER_LEASES = 5;

/** Proof that an agent did not know a leader term. */
export interface TermUnawareness {
  term: number;
  /** By this node's clock, in ms; until then nothing from that term's leader had reached the agent. */
  provenAtMs: number;
}

/** State of an agent that sent heartbeats to this follower, kept while the leader is the same. */
export class RedirectedAgent {
  private lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  private servedSince: number | null = null;
  /** Proof from the agent itself that it did not know a term; null when there is none. */
  termUnawareness: TermUnawareness | null = null;

  constructor(
    /** The leader that the agent was redirected to. */
    readonly leader: string,
  ) {}

  /** Records a heartbeat. Reports whether the previous one arrived less than `windowMs` ago. */
  recordHeartbeat(nowMs: number, windowMs: number): boolean {
    const returned = nowMs - this.lastHeartbeatAt < windowMs;
    this.lastHeartbeatAt = nowMs;
    return returned;
  }

  /** Marks the agent as served here: this node relays its heartbeats or renews its lease. */
  startServing(nowMs: number): void {
    this.servedSince ??= nowMs;
  }

  /** Marks the agent as redirected to the leader again. */
  stopServing(): void {
    this.servedSince = null;
  }

  /** Reports whether the agent has been served here for more than `ms`. */
  isServedForLongerThan(ms: number, nowMs: number): boolean {
    return this.servedSince !== null && nowMs - this.servedSince > ms;
  }

  /** Reports whether no heartbeat has arrived from the agent for more than `ms`. */
  isInactiveFor(ms: number, nowMs: number): boolean {
    return nowMs - this.lastHeartbeatAt > ms;
  }
}

/**
 * The redirected agents by machine id. A sweep every FORGET_AFTER_LEASES agent
 * leases removes the agents without a heartbeat for that long, so the map holds
 * at most the machines that sent a heartbeat here within twice that time.
 */
export class RedirectedAgents {
  private readonly agents = new Map<string, RedirectedAgent>();
  private lastSweepAt = 0;

  constructor(private readonly timing: Pick<Timing, 'agentLeaseMs'>) {}

  /** Returns the state of the machine's agent; a change of leader resets it. */
  get(machineId: string, leader: string): RedirectedAgent {
    let agent = this.agents.get(machineId);
    if (!agent || agent.leader !== leader) {
      agent = new RedirectedAgent(leader);
      this.agents.set(machineId, agent);
    }
    return agent;
  }

  /** Removes inactive agents, at most once in FORGET_AFTER_LEASES agent leases. */
  forgetInactive(nowMs: number): void {
    const keepMs = this.timing.agentLeaseMs * FORGET_AFTER_LEASES;
    if (nowMs - this.lastSweepAt < keepMs) return;
    this.lastSweepAt = nowMs;
    for (const [machineId, agent] of this.agents)
      if (agent.isInactiveFor(keepMs, nowMs)) this.agents.delete(machineId);
  }
}
