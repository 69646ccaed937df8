/** Communication between controllers: statuses, forwarded requests, relayed heartbeats and cancellations. */
import { parseAddress } from '../../config/settings.js';
import type { Reply } from '../../http/reply.js';
import { PeerNetwork } from '../../peer/peer-network.js';
import { truncateCommands } from '../../protocol/agent-protocol.js';
import type { PeerStatus } from '../../records/peer-frames.js';
import {
  decodeForwardedReply,
  encodeCancellationNotice,
  encodeForwardedReply,
  encodeForwardedRequest,
} from '../../records/peer-requests.js';
import { mapIfObject } from '../../records/stored-form.js';
import { sleepUntilAborted } from '../../runtime/clock.js';
import type { ControllerContext } from '../context.js';
import { Mailbox } from '../heartbeats/mailbox.js';
import {
  MailboxBackoffError,
  MailboxMessageTooLargeError,
  PeerProtocolError,
} from './peer-errors.js';
import { PEER_OPERATIONS, type PeerHandlers, servePeerRequest } from './peer-handlers.js';
import { PeerStatuses } from './peer-statuses.js';

/**
 * Share of a state service value that a heartbeat or its response may take in a
 * mailbox message. The rest is for the other fields and for escaped quotes.
 */
const MAILBOX_VALUE_SHARE = 0.7;

/** How long no mailbox request is sent to a node after one has failed, in leader leases. */
const MAILBOX_BACKOFF_LEASES = 0.5;

/**
 * Timeout of a forwarded user request, in state service timeouts. It is longer
 * than one because the peer calls the state service to serve the request.
 */
const FORWARD_TIMEOUTS = 1.5;

/** Timeout of a cancellation announcement, in state service timeouts. It is short because the user waits for it. */
const ANNOUNCE_TIMEOUTS = 0.25;

/** Pause between attempts to connect to a peer, in renewal intervals. */
const RECONNECT_INTERVALS = 0.5;

/** Components that requests and statuses pass through. */
interface PeerChannels {
  network: PeerNetwork;
  mailbox: Mailbox;
  statuses: PeerStatuses;
}

/** Creates the `Peers` of the controllers in the settings. No connection is opened before `run` is called. */
export function createPeers(ctx: ControllerContext, handlers: PeerHandlers): Peers {
  const { platform, timing, clock, log, limits } = ctx;
  const network = new PeerNetwork({
    ...parseAddress(platform.peer_listen),
    peers: platform.peers.map((peer) => ({
      node: peer.node,
      address: parseAddress(peer.address),
    })),
    clock,
    reconnectDelayMs: timing.renewalIntervalMs * RECONNECT_INTERVALS,
    onStatus: (status) => peers.receiveStatus(status),
    onRequest: (operation, payload) => servePeerRequest(handlers, operation, payload),
    onError: (err) => log.debug({ err }, 'peer connection or request failed'),
  });
  const statuses = new PeerStatuses(ctx, (node) => network.isConnected(node));
  // Commands that do not fit a value are left out. For the agent this is the same as losing them in a late response.
  const mailbox = new Mailbox(ctx, async (text) => {
    const reply = await handlers.handleHeartbeat(Buffer.from(text));
    const body = truncateCommands(reply.body, limits.valueBytes * MAILBOX_VALUE_SHARE);
    return encodeForwardedReply({ ...reply, body });
  });
  const peers = new Peers(ctx, handlers, { network, mailbox, statuses });
  return peers;
}

/** The other controllers: `statuses` holds the statuses they sent, and the methods send them requests. */
export class Peers {
  readonly statuses: PeerStatuses;
  private readonly network: PeerNetwork;
  private readonly mailbox: Mailbox;
  /** By node: time until which no mailbox request is sent to it, in milliseconds on the monotonic clock. */
  private readonly mailboxBackoffUntil = new Map<string, number>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly handlers: PeerHandlers,
    { network, mailbox, statuses }: PeerChannels,
  ) {
    this.network = network;
    this.mailbox = mailbox;
    this.statuses = statuses;
  }

  /** Connects to the peers, serves their requests and sends them this controller's status until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.network.run(signal),
      this.mailbox.run(signal),
      this.broadcastStatus(signal),
    ]);
  }

  /** See {@link PeerStatuses.isReachable}. */
  isReachable(node: string): boolean {
    return this.statuses.isReachable(node);
  }

  /** See {@link PeerStatuses.lastLedAt}. */
  lastLedAt(node: string, term: number): number | null {
    return this.statuses.lastLedAt(node, term);
  }

  /** Processes a peer's status; ignores a malformed one. The term of a delayed status still counts. */
  receiveStatus(status: PeerStatus): void {
    if (typeof status?.node !== 'string' || typeof status.term !== 'number') return;
    if (typeof status.sentAt !== 'number') return;
    this.handlers.observeTerm(status.term);
    this.statuses.record(status);
  }

  /**
   * Forwards a user's request to a peer and returns the peer's reply.
   *
   * @throws PeerUnavailableError when no response arrives in time; PeerProtocolError when the response is malformed.
   */
  async forwardRequest(node: string, method: string, target: string, body: Buffer): Promise<Reply> {
    const payload = encodeForwardedRequest({ method, target, body });
    const timeoutMs = this.ctx.timing.stateTimeoutMs * FORWARD_TIMEOUTS;
    return decodeReply(
      await this.network.request(node, PEER_OPERATIONS.serveUser, payload, timeoutMs),
    );
  }

  /**
   * Relays an agent's heartbeat to the leader and returns the leader's reply.
   *
   * @throws PeerUnavailableError when no response arrives in time; PeerProtocolError when the response is malformed.
   */
  async relayHeartbeat(node: string, body: Buffer): Promise<Reply> {
    const timeoutMs = this.ctx.timing.stateTimeoutMs;
    return decodeReply(
      await this.network.request(node, PEER_OPERATIONS.handleHeartbeat, body, timeoutMs),
    );
  }

  /**
   * Relays an agent's heartbeat through the state service, to a leader that this
   * node cannot reach. When a request fails, the node has most likely stopped, so
   * no further request is sent to it during a back-off.
   *
   * @throws MailboxBackoffError during the back-off; MailboxMessageTooLargeError;
   * PeerProtocolError when the response is malformed; the errors of
   * {@link Mailbox.request}.
   */
  async relayThroughMailbox(node: string, machineId: string, body: Buffer): Promise<Reply> {
    const { clock, limits, timing } = this.ctx;
    if (clock.now() < (this.mailboxBackoffUntil.get(node) ?? 0))
      throw new MailboxBackoffError(node);
    if (body.length > limits.valueBytes * MAILBOX_VALUE_SHARE)
      throw new MailboxMessageTooLargeError(body.length);
    try {
      return decodeReply(
        await this.mailbox.request(node, machineId, body.toString(), timing.stateTimeoutMs),
      );
    } catch (error) {
      const backoffMs = timing.leaderLeaseMs * MAILBOX_BACKOFF_LEASES;
      this.mailboxBackoffUntil.set(node, clock.now() + backoffMs);
      throw error;
    }
  }

  /**
   * Announces a durable cancellation to every reachable peer, one of which may
   * be the leader, so that no task of the job starts after the user has the
   * confirmation. Never rejects.
   *
   * Waiting for an unresponsive peer ends after a short timeout. That is safe
   * because the peer's knowledge of cancellations expires, and what it may do
   * then is bounded (docs/design.md, "One bound for cancellations").
   */
  async announceCancellation(jobId: string, revision: number): Promise<void> {
    const { platform, timing } = this.ctx;
    const notice = encodeCancellationNotice({ jobId, revision });
    const reachable = platform.peers.filter((peer) => this.statuses.isReachable(peer.node));
    const timeoutMs = timing.stateTimeoutMs * ANNOUNCE_TIMEOUTS;
    await Promise.allSettled(
      reachable.map((peer) =>
        this.network.request(peer.node, PEER_OPERATIONS.announceCancellation, notice, timeoutMs),
      ),
    );
  }

  private async broadcastStatus(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.network.broadcast(this.handlers.currentStatus());
      await sleepUntilAborted(this.ctx.clock, this.ctx.timing.renewalIntervalMs, signal);
    }
  }
}

function decodeReply(payload: unknown): Reply {
  const reply: Reply = mapIfObject(payload, decodeForwardedReply);
  if (typeof reply?.status !== 'number')
    throw new PeerProtocolError('peer response has no numeric status');
  return reply;
}
