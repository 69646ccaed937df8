/** What a controller knows of its peers from the statuses that they send. */
import type { PeerStatus } from '../../records/peer-frames.js';
import type { TaskCounts } from '../api/job-status.js';
import type { ControllerContext } from '../context.js';

/** A status counts for this many renewal intervals, the interval in which peers send theirs. */
const FRESH_INTERVALS = 2.5;

interface ReceivedStatus {
  status: PeerStatus;
  /** When it was sent, on this node's steady clock. */
  sentAt: number;
}

/**
 * The latest status of each peer. Invariant: a status counts for the time at
 * which it was sent, not received, and never replaces one that was sent later.
 */
export class PeerStatuses {
  private readonly received = new Map<string, ReceivedStatus>();
  /** Of the last leader that sent any, by job. */
  private readonly taskCounts = new Map<string, TaskCounts>();

  constructor(
    private readonly ctx: Pick<ControllerContext, 'clock' | 'timing' | 'platform'>,
    private readonly isConnected: (node: string) => boolean,
  ) {}

  /** Takes a well-formed status, unless a later one is known. */
  record(status: PeerStatus): void {
    // A partition may delay a status: it is true of the time when it was sent, and may arrive after a newer one.
    const { clock } = this.ctx;
    const sentAt = clock.now() - Math.max(0, clock.wall() - status.sentAt);
    if (sentAt < (this.received.get(status.node)?.sentAt ?? Number.NEGATIVE_INFINITY)) return;
    this.received.set(status.node, { status, sentAt });
    if (!status.leading || !Array.isArray(status.counts)) return;
    this.taskCounts.clear();
    for (const [job, done, running] of status.counts) this.taskCounts.set(job, { done, running });
  }

  /** Whether the peer's statuses arrive and it is connected, so that requests to it are likely to succeed. */
  isReachable(node: string): boolean {
    const received = this.received.get(node);
    return received !== undefined && this.isFresh(received) && this.isConnected(node);
  }

  /** There are peers, and none of them is reachable. */
  isIsolated(): boolean {
    const { peers } = this.ctx.platform;
    return peers.length > 0 && !peers.some((peer) => this.isReachable(peer.node));
  }

  /**
   * When that node last sent that it leads in this term, on the steady clock;
   * null when its latest status does not say so.
   */
  lastLedAt(node: string, term: number): number | null {
    const received = this.received.get(node);
    return received?.status.leading && received.status.term === term ? received.sentAt : null;
  }

  /** Task counts of a live job as the leader last sent them; null if it sent none. */
  taskCountsOf(jobId: string): TaskCounts | null {
    return this.taskCounts.get(jobId) ?? null;
  }

  /** Whether a peer that leads has no memory for further jobs, as far as is known. */
  isLeaderMemoryShort(): boolean {
    for (const received of this.received.values())
      if (received.status.leading && received.status.memoryShort === true && this.isFresh(received))
        return true;
    return false;
  }

  /** A connected peer that the state service serves, by its latest status; null if there is none. */
  servedPeer(): string | null {
    for (const [node, received] of this.received)
      if (received.status.stateOk && this.isFresh(received) && this.isConnected(node)) return node;
    return null;
  }

  private isFresh(received: ReceivedStatus): boolean {
    const { clock, timing } = this.ctx;
    return clock.now() - received.sentAt < timing.renewMs * FRESH_INTERVALS;
  }
}
