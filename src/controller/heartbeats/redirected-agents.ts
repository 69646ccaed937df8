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
  /**
   * Time until which nothing from that term's leader had reached the agent, in
   * milliseconds on the monotonic clock.
   */
  provenAt: number;
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
  recordHeartbeat(now: number, windowMs: number): boolean {
    const returned = now - this.lastHeartbeatAt < windowMs;
    this.lastHeartbeatAt = now;
    return returned;
  }

  /** Marks the agent as served here: this node relays its heartbeats or renews its lease. */
  startServing(now: number): void {
    this.servedSince ??= now;
  }

  /** Marks the agent as redirected to the leader again. */
  stopServing(): void {
    this.servedSince = null;
  }

  /** Reports whether the agent has been served here for more than `durationMs`. */
  isServedForLongerThan(durationMs: number, now: number): boolean {
    return this.servedSince !== null && now - this.servedSince > durationMs;
  }

  /** Reports whether no heartbeat has arrived from the agent for more than `durationMs`. */
  isInactiveFor(durationMs: number, now: number): boolean {
    return now - this.lastHeartbeatAt > durationMs;
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
  forgetInactive(now: number): void {
    const keepMs = this.timing.agentLeaseMs * FORGET_AFTER_LEASES;
    if (now - this.lastSweepAt < keepMs) return;
    this.lastSweepAt = now;
    for (const [machineId, agent] of this.agents)
      if (agent.isInactiveFor(keepMs, now)) this.agents.delete(machineId);
  }
}
