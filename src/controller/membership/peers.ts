/** What passes between controllers: statuses all the time, and requests that a partition makes necessary. */
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

/** The share of a value that a heartbeat or its response may take in a mailbox; the frame and its quotes need the rest. */
const MAILBOX_VALUE_SHARE = 0.7;

/** How long a node that did not answer through the mailbox is not tried again, in leader leases. */
const MAILBOX_BACKOFF_LEASES = 0.5;

/** Time-outs, in time-outs of the state service: a peer asks it on the user's behalf. */
const FORWARD_TIMEOUTS = 1.5;
const ANNOUNCE_TIMEOUTS = 0.25;

/** The pause between attempts to connect to a peer, in renewal intervals. */
const RECONNECT_INTERVALS = 0.5;

/** The parts that requests and statuses pass through. */
interface PeerChannels {
  network: PeerNetwork;
  mailbox: Mailbox;
  statuses: PeerStatuses;
}

/** Creates the connections to the peers in the settings. Nothing is opened before `run`. */
export function createPeers(ctx: ControllerContext, handlers: PeerHandlers): Peers {
  const { platform, timing, clock, log, limits } = ctx;
  const network = new PeerNetwork({
    ...parseAddress(platform.peer_listen),
    peers: platform.peers.map((peer) => ({
      node: peer.node,
      address: parseAddress(peer.address),
    })),
    clock,
    retryMs: timing.renewMs * RECONNECT_INTERVALS,
    onStatus: (status) => peers.receiveStatus(status),
    onRequest: (operation, payload) => servePeerRequest(handlers, operation, payload),
    onError: (err) => log.debug({ err }, 'peer connection or request failed'),
  });
  const statuses = new PeerStatuses(ctx, (node) => network.isConnected(node));
  // A response leaves out commands that don't fit a value: to the agent they are lost like those of a late response.
  const mailbox = new Mailbox(ctx, async (text) => {
    const reply = await handlers.handleHeartbeat(Buffer.from(text));
    const body = truncateCommands(reply.body, limits.valueBytes * MAILBOX_VALUE_SHARE);
    return encodeForwardedReply({ ...reply, body });
  });
  const peers = new Peers(ctx, handlers, { network, mailbox, statuses });
  return peers;
}

/** The other controllers, as seen from this one: `statuses` is what it knows of them, the methods are what it asks them. */
export class Peers {
  readonly statuses: PeerStatuses;
  private readonly network: PeerNetwork;
  private readonly mailbox: Mailbox;
  /** Until when the mailbox is not tried again, by node. */
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

  /** Takes a peer's status; what is not well-formed is ignored. Its term counts however late it arrives. */
  receiveStatus(status: PeerStatus): void {
    if (typeof status?.node !== 'string' || typeof status.term !== 'number') return;
    if (typeof status.sentAt !== 'number') return;
    this.handlers.observeTerm(status.term);
    this.statuses.record(status);
  }

  /**
   * Has a peer serve a user's request.
   *
   * @throws PeerUnavailableError without a response in time; PeerProtocolError when it is no reply.
   */
  async forwardRequest(node: string, method: string, target: string, body: Buffer): Promise<Reply> {
    const payload = encodeForwardedRequest({ method, target, body });
    const timeoutMs = this.ctx.timing.stateTimeoutMs * FORWARD_TIMEOUTS;
    return replyOf(await this.network.request(node, PEER_OPERATIONS.serveUser, payload, timeoutMs));
  }

  /**
   * Has the leader handle an agent's heartbeat.
   *
   * @throws PeerUnavailableError without a response in time; PeerProtocolError when it is no reply.
   */
  async forwardHeartbeat(node: string, body: Buffer): Promise<Reply> {
    const timeoutMs = this.ctx.timing.stateTimeoutMs;
    return replyOf(
      await this.network.request(node, PEER_OPERATIONS.handleHeartbeat, body, timeoutMs),
    );
  }

  /**
   * The same through the state service, for a leader that is unreachable from
   * here. A node that does not answer has most likely ended, and is not tried
   * again for a while.
   *
   * @throws MailboxBackoffError within that while; MailboxMessageTooLargeError;
   * PeerProtocolError; what the mailbox throws without a response in time.
   */
  async forwardThroughMailbox(node: string, machine: string, body: Buffer): Promise<Reply> {
    const { clock, limits, timing } = this.ctx;
    if (clock.now() < (this.mailboxBackoffUntil.get(node) ?? 0))
      throw new MailboxBackoffError(node);
    // The frame of a request and the quotes in its text take some of the value too.
    if (body.length > limits.valueBytes * MAILBOX_VALUE_SHARE)
      throw new MailboxMessageTooLargeError(body.length);
    try {
      return replyOf(
        await this.mailbox.request(node, machine, body.toString(), timing.stateTimeoutMs),
      );
    } catch (error) {
      const backoffMs = timing.leaseMs * MAILBOX_BACKOFF_LEASES;
      this.mailboxBackoffUntil.set(node, clock.now() + backoffMs);
      throw error;
    }
  }

  /**
   * Announces a durable cancellation to every reachable peer, so that the
   * leader, whichever of them it is, starts nothing of the job once the user
   * has the confirmation. A peer that does not answer at once delays nobody:
   * its own knowledge of cancellations becomes too old, and what it may do
   * then is bounded (docs/design.md, "One bound for cancellations"). Never
   * rejects.
   */
  async announceCancellation(job: string, revision: number): Promise<void> {
    const { platform, timing } = this.ctx;
    const notice = encodeCancellationNotice({ job, revision });
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
      await sleepUntilAborted(this.ctx.clock, this.ctx.timing.renewMs, signal);
    }
  }
}

function replyOf(payload: unknown): Reply {
  const reply: Reply = mapIfObject(payload, decodeForwardedReply);
  if (typeof reply?.status !== 'number') throw new PeerProtocolError('response is no reply');
  return reply;
}
