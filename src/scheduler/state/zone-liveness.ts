/** Tracks which zones send heartbeats, to distinguish the failure of a machine from the loss of a whole zone. */

/** A heartbeat that arrives more than this many intervals after the previous one of its zone ends a gap. */
const GAP_HEARTBEATS = 1.5;

/** Heartbeat times of a zone, in milliseconds on the monotonic clock. */
export interface ZoneLiveness {
  /** When its last heartbeat arrived. */
  lastHeartbeatAt: number;
  /** Since when heartbeats from its machines have arrived without a gap. */
  liveSince: number;
}

/** Liveness by zone, from heartbeats under the leader's own fencing token only. */
export class ZoneLivenessTracker {
  /** Zones that have sent a heartbeat in this leader term. */
  readonly byZone = new Map<string, ZoneLiveness>();

  constructor(private readonly heartbeatMs: number) {}

  /** Records a heartbeat from a machine of the zone. */
  recordHeartbeat(zone: string, now: number): void {
    const liveness = this.byZone.get(zone);
    if (!liveness || now - liveness.lastHeartbeatAt > this.heartbeatMs * GAP_HEARTBEATS)
      this.byZone.set(zone, { lastHeartbeatAt: now, liveSince: now });
    else liveness.lastHeartbeatAt = now;
  }
}
