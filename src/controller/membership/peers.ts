import { parseAddress } from '../../config/settings.js';
import type { Reply } from '../../http/server.js';
import { PeerNetwork, type PeerStatus } from '../../peer/peer-network.js';
import { truncateCommands } from '../../protocol/agent-protocol.js';
import {
  type CancellationNotice,
  decodeCancellation,
  decodeReply,
  decodeRequest,
  encodeCancellation,
  encodeReply,
  encodeRequest,
  type ForwardedRequest,
} from '../../records/peer-requests.js';
import { mapObject } from '../../records/stored-form.js';
import { sleepUntilAborted } from '../../runtime/clock.js';
import type { ControllerContext } from '../context.js';
import { Mailbox } from '../heartbeats/mailbox.js';

/** The part of a value that a report or its answer may take in a mail; the frame and its quotes need the rest. */
const MAILBOX_VALUE_SHARE = 0.7;

/** Live jobs whose counts a status carries, at the most. */
export const COUNTS_PER_STATUS = 256;

interface ReceivedStatus {
  status: PeerStatus;
  sentAt: number;
}

export interface PeerHandlers {
  status: () => PeerStatus;
  /** A peer knows of this term. */
  onTerm: (term: number) => void;
  serveUser: (method: string, target: string, body: Buffer) => Promise<Reply>;
  takeReport: (body: Buffer) => Promise<Reply>;
  /** A peer is about to confirm this job's cancellation. */
  cancelled: (job: string, revision: number) => void;
}

/** What passes between the controllers: status all the time, requests passed on when a cut asks for it. */
export class Peers {
  private readonly network: PeerNetwork;
  private readonly mailbox: Mailbox;
  /** Until when mail is not tried again, by node. */
  private readonly mailboxBackoffUntil = new Map<string, number>();
  private readonly statuses = new Map<string, ReceivedStatus>();
  private readonly taskCounts = new Map<string, { done: number; running: number }>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly handlers: PeerHandlers,
  ) {
    const { platform, timing, clock, log } = ctx;
    this.network = new PeerNetwork({
      ...parseAddress(platform.peer_listen),
      peers: platform.peers.map((p) => ({ node: p.node, address: parseAddress(p.address) })),
      clock,
      retryMs: timing.renewMs * 0.5,
      onStatus: (status) => this.receiveStatus(status),
      onRequest: (op, payload) => this.serve(op, payload),
      onError: (error) => log.debug({ error: String((error as Error).message) }, 'peer'),
    });
    // An answer leaves out the orders that a value has no room for: to its worker they are lost like a late answer's.
    this.mailbox = new Mailbox(ctx, async (text) => {
      const reply = await handlers.takeReport(Buffer.from(text));
      const body = truncateCommands(reply.body, ctx.limits.valueBytes * MAILBOX_VALUE_SHARE);
      return encodeReply({ ...reply, body });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.network.run(signal),
      this.mailbox.run(signal),
      this.broadcastStatus(signal),
    ]);
  }

  private connected(node: string): boolean {
    return this.network.connected(node);
  }

  /** The peer's status comes through, so it can be reached from here. */
  isReachable(node: string): boolean {
    const received = this.statuses.get(node);
    return received !== undefined && this.isFresh(received) && this.connected(node);
  }

  /** When that node was last heard to lead in this term; null when it never was. */
  lastLedAt(node: string, term: number): number | null {
    const received = this.statuses.get(node);
    return received?.status.leading && received.status.term === term ? received.sentAt : null;
  }

  private isFresh(received: ReceivedStatus): boolean {
    return this.ctx.clock.now() - received.sentAt < this.ctx.timing.renewMs * 2.5;
  }

  /** There are peers, and none of them is heard. */
  isIsolated(): boolean {
    const { peers } = this.ctx.platform;
    return peers.length > 0 && !peers.some((p) => this.isReachable(p.node));
  }

  taskCountsOf(job: string): { done: number; running: number } | null {
    return this.taskCounts.get(job) ?? null;
  }

  /** The leader, as far as it is heard, has no memory for further jobs. */
  leaderMemoryIsShort(): boolean {
    for (const received of this.statuses.values())
      if (received.status.leading && received.status.memoryShort === true && this.isFresh(received))
        return true;
    return false;
  }

  /** A connected peer that the state service serves, as far as its last status tells. */
  servedPeer(): string | null {
    for (const [node, h] of this.statuses)
      if (h.status.stateOk && this.isFresh(h) && this.connected(node)) return node;
    return null;
  }

  async forwardRequest(node: string, method: string, target: string, body: Buffer): Promise<Reply> {
    const payload = encodeRequest({ method, target, body });
    return this.reply(
      await this.network.request(node, 'user', payload, this.ctx.timing.stateTimeoutMs * 1.5),
    );
  }

  /**
   * Tells every peer that is heard of a cancellation that is durable, so that
   * the leader, whichever of them it is, starts nothing of it once the user
   * knows. One that can't be told in a moment holds up nobody: its news of
   * jobs runs out, and what it can do without them is bounded (timing).
   */
  async announceCancellation(job: string, revision: number): Promise<void> {
    const { platform, timing } = this.ctx;
    const news = encodeCancellation({ job, revision });
    const peers = platform.peers.filter((p) => this.isReachable(p.node));
    await Promise.allSettled(
      peers.map((p) =>
        this.network.request(p.node, 'cancelled', news, timing.stateTimeoutMs * 0.25),
      ),
    );
  }

  async forwardHeartbeat(node: string, body: Buffer): Promise<Reply> {
    return this.reply(
      await this.network.request(node, 'report', body, this.ctx.timing.stateTimeoutMs),
    );
  }

  /**
   * The same by way of the state service, for a node that is silent here. A
   * node that does not answer is dead, most likely, and left alone for a while.
   */
  async forwardThroughMailbox(node: string, machine: string, body: Buffer): Promise<Reply> {
    const { clock, limits, timing } = this.ctx;
    if (clock.now() < (this.mailboxBackoffUntil.get(node) ?? 0)) throw new Error('mail rests');
    // The frame of a question and the quotes in its text take room too.
    if (body.length > limits.valueBytes * MAILBOX_VALUE_SHARE)
      throw new Error('too large for mail');
    try {
      return this.reply(
        await this.mailbox.request(node, machine, body.toString(), timing.stateTimeoutMs),
      );
    } catch (error) {
      this.mailboxBackoffUntil.set(node, clock.now() + timing.leaseMs * 0.5);
      throw error;
    }
  }

  private reply(answer: unknown): Reply {
    const reply: Reply = mapObject(answer, decodeReply);
    if (typeof reply?.status !== 'number') throw new Error('peer gave no reply');
    return reply;
  }

  private async broadcastStatus(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.network.broadcast(this.handlers.status());
      await sleepUntilAborted(this.ctx.clock, this.ctx.timing.renewMs, signal);
    }
  }

  /** A peer's status has come. */
  receiveStatus(status: PeerStatus): void {
    if (typeof status?.node !== 'string' || typeof status.term !== 'number') return;
    if (typeof status.sentAt !== 'number') return;
    this.handlers.onTerm(status.term);
    // What a cut held back tells of the time when it was sent, and may come after something newer.
    const { clock } = this.ctx;
    const at = clock.now() - Math.max(0, clock.wall() - status.sentAt);
    if (at < (this.statuses.get(status.node)?.sentAt ?? Number.NEGATIVE_INFINITY)) return;
    this.statuses.set(status.node, { status, sentAt: at });
    if (!status.leading || !Array.isArray(status.counts)) return;
    this.taskCounts.clear();
    for (const [job, done, running] of status.counts) this.taskCounts.set(job, { done, running });
  }

  private async serve(op: string, payload: unknown): Promise<unknown> {
    if (op === 'report')
      return encodeReply(await this.handlers.takeReport(Buffer.from(payload as Uint8Array)));
    if (op === 'cancelled') {
      const { job, revision }: CancellationNotice = mapObject(payload, decodeCancellation);
      this.handlers.cancelled(job, revision);
      return null;
    }
    if (op !== 'user') throw new Error(`unknown question ${op}`);
    const { method, target, body }: ForwardedRequest = mapObject(payload, decodeRequest);
    return encodeReply(await this.handlers.serveUser(method, target, Buffer.from(body)));
  }
}
