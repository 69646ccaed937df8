/** The statuses that peers send to this controller. */
import type { PeerStatus } from '../../records/peer-frames.js';
import type { TaskCounts } from '../api/job-status.js';
import type { ControllerContext } from '../context.js';

/** Age at which a status expires, in renewal intervals. Peers send a status every renewal interval. */
const MAX_STATUS_AGE_INTERVALS = 2.5;

interface ReceivedStatus {
  status: PeerStatus;
  /** Time of sending, in milliseconds on this node's monotonic clock. */
  sentAt: number;
}

/**
 * The latest status of each peer. Invariant: the age of a status counts from
 * when it was sent, not received, and a status never replaces a newer one.
 */
export class PeerStatuses {
  private readonly received = new Map<string, ReceivedStatus>();
  /** Task counts by job id, from the latest status that a leader sent. */
  private readonly taskCounts = new Map<string, TaskCounts>();

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'platform'>,
    private readonly isConnected: (node: string) => boolean,
  ) {}

  /** Records a well-formed status, unless a newer one of the same peer has been recorded. */
  record(status: PeerStatus): void {
    // A status delayed by a network partition describes the time at which it was sent, and may arrive
    // after a newer one.
    const { clock } = this.ctx;
    const sentAt = clock.now() - Math.max(0, clock.wall() - status.sentAt);
    if (sentAt < (this.received.get(status.node)?.sentAt ?? Number.NEGATIVE_INFINITY)) return;
    this.received.set(status.node, { status, sentAt });
    if (!status.leading || !Array.isArray(status.taskCounts)) return;
    this.taskCounts.clear();
    for (const [job, done, running] of status.taskCounts)
      this.taskCounts.set(job, { done, running });
  }

  /** Reports whether the peer is connected and its latest status is recent, so that a request is likely to succeed. */
  isReachable(node: string): boolean {
    const received = this.received.get(node);
    return received !== undefined && this.isFresh(received) && this.isConnected(node);
  }

  /** Reports whether there are peers and none of them is reachable. */
  isIsolated(): boolean {
    const { peers } = this.ctx.platform;
    return peers.length > 0 && !peers.some((peer) => this.isReachable(peer.node));
  }

  /**
   * Returns when the node's latest status was sent, in milliseconds on this node's
   * monotonic clock; null unless it says that the node leads in this term.
   */
  lastLedAt(node: string, term: number): number | null {
    const received = this.received.get(node);
    return received?.status.leading && received.status.term === term ? received.sentAt : null;
  }

  /** Returns the task counts of a live job in the latest status of a leader; null if it has none for the job. */
  taskCountsOf(jobId: string): TaskCounts | null {
    return this.taskCounts.get(jobId) ?? null;
  }

  /** Reports whether a leading peer's recent status says that its memory is low, so that it takes no further jobs. */
  isLeaderMemoryLow(): boolean {
    for (const received of this.received.values())
      if (received.status.leading && received.status.memoryShort === true && this.isFresh(received))
        return true;
    return false;
  }

  /** Returns a connected peer whose recent status says that the state service serves it; null if there is none. */
  findServedPeer(): string | null {
    for (const [node, received] of this.received)
      if (received.status.stateServiceAvailable && this.isFresh(received) && this.isConnected(node))
        return node;
    return null;
  }

  private isFresh(received: ReceivedStatus): boolean {
    const { clock, timing } = this.ctx;
    return clock.now() - received.sentAt < timing.renewalIntervalMs * MAX_STATUS_AGE_INTERVALS;
  }
}
