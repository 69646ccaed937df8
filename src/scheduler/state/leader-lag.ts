/** Tracks the leader's own event-loop lag, which must not be mistaken for the silence of machines. */
import type { SchedulerTiming } from '../../model/policy.js';
import type { Machine } from './task-attempt.js';

/** The leader counts as lagging for this many heartbeat intervals after its event loop last lagged. */
const LAGGING_HEARTBEATS = 0.25;

/** Records when this leader's event loop last lagged. */
export class LeaderLag {
  private lastLagAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly timing: Pick<SchedulerTiming, 'heartbeatMs' | 'agentLeaseMs'>) {}

  /** Records that the leader's event loop lags, so that received heartbeats may still be unread. */
  markLagging(now: number): void {
    this.lastLagAt = now;
  }

  /**
   * Reports whether the event loop lagged recently. Work that can wait for the
   * machines' heartbeats should wait then.
   */
  isLagging(now: number): boolean {
    return now - this.lastLagAt < this.timing.heartbeatMs * LAGGING_HEARTBEATS;
  }

  /**
   * Returns the time since when the machine counts as silent.
   *
   * While the leader lags on a small processor, most of all after a failover,
   * heartbeats wait to be read, or they fail and the agent tries another
   * controller. Neither is a fault of the machine, so silence counts only from
   * the last lag. This allowance ends one agent lease after the last heartbeat.
   */
  silentSince(machine: Machine): number {
    const excusedUntil = Math.min(
      this.lastLagAt,
      machine.lastHeartbeatAt + this.timing.agentLeaseMs,
    );
    return Math.max(machine.lastHeartbeatAt, excusedUntil);
  }
}
