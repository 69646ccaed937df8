/** Which zones send heartbeats: tells a machine's failure from the loss of a whole zone. */

/** A heartbeat that is later than this many intervals after the last one of its zone ends a gap. */
const GAP_HEARTBEATS = 1.5;

/** When a zone sent heartbeats, on the leader's clock in milliseconds. */
export interface ZoneLiveness {
  /** When its last heartbeat came. */
  last: number;
  /** Since when there was no gap in which none of its machines sent a heartbeat. */
  since: number;
}

/** Liveness by zone, from heartbeats under the leader's own fencing token only. */
export class ZoneLivenessTracker {
  /** Zones that have sent a heartbeat in this leader term. */
  readonly byZone = new Map<string, ZoneLiveness>();

  constructor(private readonly heartbeatMs: number) {}

  /** A machine of the zone sent a heartbeat. */
  recordHeartbeat(zone: string, now: number): void {
    const liveness = this.byZone.get(zone);
    if (!liveness || now - liveness.last > this.heartbeatMs * GAP_HEARTBEATS)
      this.byZone.set(zone, { last: now, since: now });
    else liveness.last = now;
  }
}
