/** The leader's own event-loop lag, which must not be taken for the machines' silence. */
import type { SchedulerTiming } from '../../model/policy.js';
import type { Machine } from './task-attempt.js';

/** The leader counts as lagging for this part of a heartbeat interval after it was last late. */
const LAGGING_HEARTBEATS = 0.25;

/** When this leader was last late with its own work. */
export class LeaderLag {
  private laggingAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly timing: Pick<SchedulerTiming, 'heartbeatMs' | 'agentLeaseMs'>) {}

  /** The leader's event loop is late: heartbeats may have arrived and be waiting unread. */
  markLagging(now: number): void {
    this.laggingAt = now;
  }

  /** Whether it was late a moment ago: what can wait for the machines' own heartbeats should. */
  isLagging(now: number): boolean {
    return now - this.laggingAt < this.timing.heartbeatMs * LAGGING_HEARTBEATS;
  }

  /**
   * From when on the machine counts as silent. While a small processor lags,
   * most of all after a failover, heartbeats wait to be read, or the agent has
   * tried in vain and gone to another controller: that is no fault of the
   * machine. Beyond its agent's lease nothing excuses it.
   */
  silentSince(machine: Machine): number {
    const excusedUntil = Math.min(
      this.laggingAt,
      machine.lastHeartbeatAt + this.timing.agentLeaseMs,
    );
    return Math.max(machine.lastHeartbeatAt, excusedUntil);
  }
}
