import type { Reply } from '../http/server.js';
import { isObject } from '../protocol/json-fields.js';

/**
 * Payloads of questions between controllers and of their answers: `user`, a
 * user's request passed on, `cancelled`, news of a cancellation, and `report`,
 * whose payload is the bytes of a worker's report. A reply to `user` or
 * `report` has the same form in a mail.
 */

/** A user's request that is passed on. */
export interface ForwardedRequest {
  method: string;
  target: string;
  body: Uint8Array;
}

export interface SentForwardedRequest {
  method: string;
  target: string;
  body: Uint8Array;
}

/** A cancellation that is durable since this revision. */
export interface CancellationNotice {
  job: string;
  revision: number;
}

export interface SentCancellationNotice {
  job: string;
  revision: number;
}

/** A reply that is passed back; `retryAfterS` is absent unless the caller may come back. */
export interface SentReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
}

export function encodeRequest(request: ForwardedRequest): SentForwardedRequest {
  return { method: request.method, target: request.target, body: request.body };
}

/** Null: it is no object. */
export function decodeRequest(value: unknown): ForwardedRequest | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentForwardedRequest;
  return { method: sent.method, target: sent.target, body: sent.body };
}

export function encodeCancellation(news: CancellationNotice): SentCancellationNotice {
  return { job: news.job, revision: news.revision };
}

/** Null: it is no object. */
export function decodeCancellation(value: unknown): CancellationNotice | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentCancellationNotice;
  return { job: sent.job, revision: sent.revision };
}

export function encodeReply(reply: Reply): SentReply {
  const sent: SentReply = { status: reply.status, body: reply.body };
  if (reply.retryAfterS !== undefined) sent.retryAfterS = reply.retryAfterS;
  return sent;
}

/** Null: it is no object. */
export function decodeReply(value: unknown): Reply | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentReply;
  const reply: Reply = { status: sent.status, body: sent.body };
  if (sent.retryAfterS !== undefined) reply.retryAfterS = sent.retryAfterS;
  return reply;
}
