import type { StoreEvent } from '../../protocol/key-value-protocol.js';
import {
  decodeMailboxMessage,
  encodeMailboxRequest,
  encodeMailboxResponse,
  type MailboxRequest,
  type StoredMailboxMessage,
} from '../../records/mailbox-record.js';
import { AbortedError, sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

const MAILBOX_PREFIX = 'mail/';

interface Waiting {
  n: number;
  resolve: (value: unknown) => void;
}

/**
 * Questions between controllers that a cut keeps apart, by way of the state
 * service, which both still reach. Each slot holds one question or answer and
 * is overwritten by the next; all hang on a lease that ends when no mail has
 * been sent for a while, so nothing is left behind.
 */
export class Mailbox {
  private readonly waiting = new Map<string, Waiting>();
  private lease: { id: Promise<number>; until: number } | null = null;
  private requestCount = 0;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly onRequest: (text: string) => Promise<unknown>,
  ) {}

  /** Takes mail until the signal ends it. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const box = `${MAILBOX_PREFIX}${ctx.node}/`;
    while (!signal.aborted) {
      try {
        // Mail from before is of no use to anybody: its senders have given up.
        let after = (await ctx.state.listPage(box, null, signal)).revision;
        for (;;) {
          const got = await ctx.state.watch(box, after, ctx.timing.watchTimeoutMs, signal);
          if (!got) break;
          after = got.revision;
          this.takeAll(got.events, box);
        }
      } catch (error) {
        if (signal.aborted || error instanceof AbortedError) return;
        ctx.log.debug({ error: String((error as Error).message) }, 'mail not read');
        await sleepUntilAborted(ctx.clock, ctx.timing.renewMs, signal);
      }
    }
  }

  /** Asks a node; `slot` names what the question is about, one at a time each. */
  async request(node: string, slot: string, text: string, timeoutMs: number): Promise<unknown> {
    const { ctx } = this;
    const n = ++this.requestCount;
    const deadline = ctx.clock.now() + timeoutMs;
    const key = `${node}/${slot}`;
    const answer = new Promise<unknown>((resolve) => {
      this.waiting.set(key, { n, resolve });
    });
    try {
      const question: MailboxRequest = {
        kind: 'ask',
        n,
        from: ctx.node,
        incarnation: ctx.incarnation,
        text,
      };
      await this.write(
        `${MAILBOX_PREFIX}${node}/${ctx.node}/${slot}`,
        encodeMailboxRequest(question),
      );
      const late = ctx.clock.sleep(Math.max(1, deadline - ctx.clock.now())).then(() => {
        throw new Error('mail not answered');
      });
      return await Promise.race([answer, late]);
    } finally {
      if (this.waiting.get(key)?.n === n) this.waiting.delete(key);
    }
  }

  private takeAll(events: StoreEvent[], box: string): void {
    for (const event of events)
      if (event.op === 'put') this.receive(event.key.slice(box.length), event.value);
  }

  private receive(slot: string, value: unknown): void {
    const mail = decodeMailboxMessage(value);
    if (mail?.kind === 'answer') {
      const waiting = this.waiting.get(slot);
      if (waiting && mail.n === waiting.n && mail.incarnation === this.ctx.incarnation)
        waiting.resolve(mail.value);
    } else if (mail?.kind === 'ask')
      void this.reply(slot, mail).catch((error) =>
        this.ctx.log.debug({ error: String((error as Error).message) }, 'mail not answered'),
      );
  }

  private async reply(slot: string, ask: MailboxRequest): Promise<void> {
    const { ctx } = this;
    const value = await this.onRequest(ask.text);
    const { n, incarnation } = ask;
    const answer = encodeMailboxResponse({ kind: 'answer', n, incarnation, value });
    if (Buffer.byteLength(JSON.stringify(answer)) > ctx.limits.valueBytes)
      throw new Error('too large for mail');
    // The asker's box, at our own place in it.
    const rest = slot.slice(slot.indexOf('/') + 1);
    await this.write(`${MAILBOX_PREFIX}${ask.from}/${ctx.node}/${rest}`, answer);
  }

  private async write(key: string, value: StoredMailboxMessage): Promise<void> {
    const lease = await this.currentLease();
    await this.ctx.state.transact([], [{ op: 'put', key, value, lease }], RequestPriority.ends);
  }

  /** A lease with enough of its life left for a question and its answer. */
  private currentLease(): Promise<number> {
    const { clock, state, timing } = this.ctx;
    const now = clock.now();
    if (!this.lease || now > this.lease.until) {
      const id = state.grant(timing.agentLeaseMs);
      const lease = { id, until: now + timing.agentLeaseMs * 0.5 };
      this.lease = lease;
      id.catch(() => {
        if (this.lease === lease) this.lease = null;
      });
    }
    return this.lease.id;
  }
}
