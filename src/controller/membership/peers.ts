import { splitAddress } from '../../config/settings.js';
import type { Reply } from '../../http/server.js';
import { PeerNet, type Status } from '../../peer/peer-network.js';
import { fitOrders } from '../../protocol/wire.js';
import {
  type CancellationNews,
  decodeCancellation,
  decodeReply,
  decodeRequest,
  encodeCancellation,
  encodeReply,
  encodeRequest,
  type PassedRequest,
} from '../../records/peer-requests.js';
import { mapObject } from '../../records/stored-form.js';
import { pause } from '../../runtime/clock.js';
import type { Context } from '../context.js';
import { Mail } from '../heartbeats/mailbox.js';

/** The part of a value that a report or its answer may take in a mail; the frame and its quotes need the rest. */
const MAIL_SHARE = 0.7;

/** Live jobs whose counts a status carries, at the most. */
export const COUNTS_PER_STATUS = 256;

interface Heard {
  status: Status;
  at: number;
}

export interface PeerDuties {
  status: () => Status;
  /** A peer knows of this term. */
  onTerm: (term: number) => void;
  serveUser: (method: string, target: string, body: Buffer) => Promise<Reply>;
  takeReport: (body: Buffer) => Promise<Reply>;
  /** A peer is about to confirm this job's cancellation. */
  cancelled: (job: string, revision: number) => void;
}

/** What passes between the controllers: status all the time, requests passed on when a cut asks for it. */
export class Peers {
  private readonly net: PeerNet;
  private readonly mail: Mail;
  /** Until when mail is not tried again, by node. */
  private readonly mailRests = new Map<string, number>();
  private readonly heard = new Map<string, Heard>();
  private readonly counts = new Map<string, { done: number; running: number }>();

  constructor(
    private readonly ctx: Context,
    private readonly duties: PeerDuties,
  ) {
    const { platform, timing, clock, log } = ctx;
    this.net = new PeerNet({
      ...splitAddress(platform.peer_listen),
      peers: platform.peers.map((p) => ({ node: p.node, address: splitAddress(p.address) })),
      clock,
      retryMs: timing.renewMs * 0.5,
      onStatus: (status) => this.take(status),
      onAsk: (op, payload) => this.serve(op, payload),
      onError: (error) => log.debug({ error: String((error as Error).message) }, 'peer'),
    });
    // An answer leaves out the orders that a value has no room for: to its worker they are lost like a late answer's.
    this.mail = new Mail(ctx, async (text) => {
      const reply = await duties.takeReport(Buffer.from(text));
      const body = fitOrders(reply.body, ctx.limits.valueBytes * MAIL_SHARE);
      return encodeReply({ ...reply, body });
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.net.run(signal), this.mail.run(signal), this.tell(signal)]);
  }

  private connected(node: string): boolean {
    return this.net.connected(node);
  }

  /** The peer's status comes through, so it can be reached from here. */
  hears(node: string): boolean {
    const h = this.heard.get(node);
    return h !== undefined && this.fresh(h) && this.connected(node);
  }

  /** When that node was last heard to lead in this term; null when it never was. */
  heardLeading(node: string, term: number): number | null {
    const h = this.heard.get(node);
    return h?.status.leading && h.status.term === term ? h.at : null;
  }

  private fresh(h: Heard): boolean {
    return this.ctx.clock.now() - h.at < this.ctx.timing.renewMs * 2.5;
  }

  /** There are peers, and none of them is heard. */
  alone(): boolean {
    const { peers } = this.ctx.platform;
    return peers.length > 0 && !peers.some((p) => this.hears(p.node));
  }

  countsOf(job: string): { done: number; running: number } | null {
    return this.counts.get(job) ?? null;
  }

  /** The leader, as far as it is heard, has no memory for further jobs. */
  leaderMemoryIsShort(): boolean {
    for (const h of this.heard.values())
      if (h.status.leading && h.status.memoryShort === true && this.fresh(h)) return true;
    return false;
  }

  /** A connected peer that the state service serves, as far as its last status tells. */
  served(): string | null {
    for (const [node, h] of this.heard)
      if (h.status.stateOk && this.fresh(h) && this.connected(node)) return node;
    return null;
  }

  async passUser(node: string, method: string, target: string, body: Buffer): Promise<Reply> {
    const payload = encodeRequest({ method, target, body });
    return this.reply(
      await this.net.ask(node, 'user', payload, this.ctx.timing.stateTimeoutMs * 1.5),
    );
  }

  /**
   * Tells every peer that is heard of a cancellation that is durable, so that
   * the leader, whichever of them it is, starts nothing of it once the user
   * knows. One that can't be told in a moment holds up nobody: its news of
   * jobs runs out, and what it can do without them is bounded (timing).
   */
  async announce(job: string, revision: number): Promise<void> {
    const { platform, timing } = this.ctx;
    const news = encodeCancellation({ job, revision });
    const peers = platform.peers.filter((p) => this.hears(p.node));
    await Promise.allSettled(
      peers.map((p) => this.net.ask(p.node, 'cancelled', news, timing.stateTimeoutMs * 0.25)),
    );
  }

  async passReport(node: string, body: Buffer): Promise<Reply> {
    return this.reply(await this.net.ask(node, 'report', body, this.ctx.timing.stateTimeoutMs));
  }

  /**
   * The same by way of the state service, for a node that is silent here. A
   * node that does not answer is dead, most likely, and left alone for a while.
   */
  async mailReport(node: string, machine: string, body: Buffer): Promise<Reply> {
    const { clock, limits, timing } = this.ctx;
    if (clock.now() < (this.mailRests.get(node) ?? 0)) throw new Error('mail rests');
    // The frame of a question and the quotes in its text take room too.
    if (body.length > limits.valueBytes * MAIL_SHARE) throw new Error('too large for mail');
    try {
      return this.reply(await this.mail.ask(node, machine, body.toString(), timing.stateTimeoutMs));
    } catch (error) {
      this.mailRests.set(node, clock.now() + timing.leaseMs * 0.5);
      throw error;
    }
  }

  private reply(answer: unknown): Reply {
    const reply: Reply = mapObject(answer, decodeReply);
    if (typeof reply?.status !== 'number') throw new Error('peer gave no reply');
    return reply;
  }

  private async tell(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.net.tell(this.duties.status());
      await pause(this.ctx.clock, this.ctx.timing.renewMs, signal);
    }
  }

  /** A peer's status has come. */
  take(status: Status): void {
    if (typeof status?.node !== 'string' || typeof status.term !== 'number') return;
    if (typeof status.sentAt !== 'number') return;
    this.duties.onTerm(status.term);
    // What a cut held back tells of the time when it was sent, and may come after something newer.
    const { clock } = this.ctx;
    const at = clock.now() - Math.max(0, clock.wall() - status.sentAt);
    if (at < (this.heard.get(status.node)?.at ?? Number.NEGATIVE_INFINITY)) return;
    this.heard.set(status.node, { status, at });
    if (!status.leading || !Array.isArray(status.counts)) return;
    this.counts.clear();
    for (const [job, done, running] of status.counts) this.counts.set(job, { done, running });
  }

  private async serve(op: string, payload: unknown): Promise<unknown> {
    if (op === 'report')
      return encodeReply(await this.duties.takeReport(Buffer.from(payload as Uint8Array)));
    if (op === 'cancelled') {
      const { job, revision }: CancellationNews = mapObject(payload, decodeCancellation);
      this.duties.cancelled(job, revision);
      return null;
    }
    if (op !== 'user') throw new Error(`unknown question ${op}`);
    const { method, target, body }: PassedRequest = mapObject(payload, decodeRequest);
    return encodeReply(await this.duties.serveUser(method, target, Buffer.from(body)));
  }
}
