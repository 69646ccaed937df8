/**
 * Requests between controllers that a network partition separates, sent through
 * the state service, which both can still reach.
 *
 * A request and its response each have a key, named by recipient, sender and
 * slot, which the next message overwrites. Each key is attached to a short lease
 * that is never renewed, so no key remains when messages stop.
 *
 * A response is accepted only for the request with its number and the process
 * with its incarnation. A late response, or one to a previous process of this
 * node, is dropped.
 */
import type { StoreEvent } from '../../protocol/key-value-protocol.js';
import {
  decodeMailboxMessage,
  encodeMailboxRequest,
  encodeMailboxResponse,
  type MailboxRequest,
  type MailboxResponse,
  type StoredMailboxMessage,
} from '../../records/mailbox-record.js';
import { assertNever } from '../../runtime/assert-never.js';
import { AbortedError, sleepUntilAborted } from '../../runtime/clock.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

const MAILBOX_PREFIX = 'mail/';

/** Share of a lease in which new messages are attached to it. The rest leaves time to receive the last of them. */
const LEASE_REUSE_SHARE = 0.5;

/** No response arrived within the request's timeout. */
export class MailboxTimeoutError extends Error {
  constructor(node: string, timeoutMs: number) {
    super(`mailbox request to ${node} not answered within ${timeoutMs} ms`);
  }
}

/** A response is larger than a value of the state service may be. */
export class MailboxResponseTooLargeError extends Error {
  constructor(bytes: number, maxBytes: number) {
    super(`mailbox response of ${bytes} bytes exceeds the limit of ${maxBytes} bytes`);
  }
}

/** A request waiting for its response. */
interface PendingRequest {
  requestNumber: number;
  resolve: (value: unknown) => void;
}

/** The lease that messages are attached to. */
interface MailboxLease {
  id: Promise<number>;
  /** Time in milliseconds on the monotonic clock after which new messages are attached to a new lease. */
  usableUntil: number;
}

/** Sends one node's requests to other nodes and responds to theirs. */
export class Mailbox {
  /** Requests waiting for a response, by `<node>/<slot>`; at most one for each. */
  private readonly pending = new Map<string, PendingRequest>();
  private lease: MailboxLease | null = null;
  private lastRequestNumber = 0;

  constructor(
    private readonly ctx: ControllerContext,
    /** Handles another node's request and resolves to the response in its stored form. */
    private readonly onRequest: (text: string) => Promise<unknown>,
  ) {}

  /** Receives messages until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { ctx } = this;
    const inbox = `${MAILBOX_PREFIX}${ctx.node}/`;
    while (!signal.aborted) {
      try {
        // Skips messages written before the watch starts. Their senders time out.
        let revision = (await ctx.state.listPage(inbox, null, signal)).revision;
        for (;;) {
          const changes = await ctx.state.watch(inbox, revision, ctx.timing.watchTimeoutMs, signal);
          if (!changes) break;
          revision = changes.revision;
          this.receiveAll(changes.events, inbox);
        }
      } catch (error) {
        if (signal.aborted || error instanceof AbortedError) return;
        ctx.log.debug({ err: error }, 'mailbox read failed; retrying after a pause');
        await sleepUntilAborted(ctx.clock, ctx.timing.renewalIntervalMs, signal);
      }
    }
  }

  /**
   * Sends a request to a node and resolves to its response, in its stored form.
   * A later request in the same slot replaces this one, which then times out.
   * Throws MailboxTimeoutError and the errors of the state service's client.
   */
  async request(node: string, slot: string, text: string, timeoutMs: number): Promise<unknown> {
    const { ctx } = this;
    const requestNumber = ++this.lastRequestNumber;
    const deadline = ctx.clock.now() + timeoutMs;
    const pendingKey = `${node}/${slot}`;
    const response = new Promise<unknown>((resolve) => {
      this.pending.set(pendingKey, { requestNumber, resolve });
    });
    try {
      const request: MailboxRequest = {
        kind: 'ask',
        requestNumber,
        from: ctx.node,
        incarnation: ctx.incarnation,
        text,
      };
      await this.write(
        `${MAILBOX_PREFIX}${node}/${ctx.node}/${slot}`,
        encodeMailboxRequest(request),
      );
      const timeout = ctx.clock.sleep(Math.max(1, deadline - ctx.clock.now())).then(() => {
        throw new MailboxTimeoutError(node, timeoutMs);
      });
      return await Promise.race([response, timeout]);
    } finally {
      if (this.pending.get(pendingKey)?.requestNumber === requestNumber)
        this.pending.delete(pendingKey);
    }
  }

  private receiveAll(events: StoreEvent[], inbox: string): void {
    for (const event of events)
      if (event.op === 'put') this.receive(event.key.slice(inbox.length), event.value);
  }

  /** `senderSlot` is the message's key without the inbox prefix: `<sender>/<slot>`. */
  private receive(senderSlot: string, value: unknown): void {
    const message = decodeMailboxMessage(value);
    if (!message) return;
    switch (message.kind) {
      case 'answer':
        this.receiveResponse(senderSlot, message);
        return;
      case 'ask':
        void this.respond(senderSlot, message).catch((error) =>
          this.ctx.log.debug(
            { err: error },
            'response to a mailbox request failed; the sender will time out',
          ),
        );
        return;
      default:
        assertNever(message);
    }
  }

  /** Drops responses to an earlier request or to a previous process of this node. */
  private receiveResponse(senderSlot: string, response: MailboxResponse): void {
    const pending = this.pending.get(senderSlot);
    if (!pending || response.requestNumber !== pending.requestNumber) return;
    if (response.incarnation === this.ctx.incarnation) pending.resolve(response.value);
  }

  private async respond(senderSlot: string, request: MailboxRequest): Promise<void> {
    const { ctx } = this;
    const value = await this.onRequest(request.text);
    const { requestNumber, incarnation } = request;
    const response = encodeMailboxResponse({
      kind: 'answer',
      requestNumber,
      incarnation,
      value,
    });
    const bytes = Buffer.byteLength(JSON.stringify(response));
    if (bytes > ctx.limits.valueBytes)
      throw new MailboxResponseTooLargeError(bytes, ctx.limits.valueBytes);
    // The response goes to the sender's inbox, under this node's name and the same slot.
    const slot = senderSlot.slice(senderSlot.indexOf('/') + 1);
    await this.write(`${MAILBOX_PREFIX}${request.from}/${ctx.node}/${slot}`, response);
  }

  private async write(key: string, value: StoredMailboxMessage): Promise<void> {
    const lease = await this.usableLease();
    await this.ctx.state.transact(
      [],
      [{ op: 'put', key, value, lease }],
      RequestPriority.completions,
    );
  }

  /** Returns a lease with enough time left for a request and its response. */
  private usableLease(): Promise<number> {
    const { clock, state, timing } = this.ctx;
    const now = clock.now();
    if (!this.lease || now > this.lease.usableUntil) {
      const id = state.grantLease(timing.agentLeaseMs);
      const lease = { id, usableUntil: now + timing.agentLeaseMs * LEASE_REUSE_SHARE };
      this.lease = lease;
      id.catch(() => {
        if (this.lease === lease) this.lease = null;
      });
    }
    return this.lease.id;
  }
}
