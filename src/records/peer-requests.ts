/**
 * Payloads of questions between controllers and of their answers (peer-frames).
 *
 * Questions: `user`, a user's request that is forwarded; `cancelled`, the notice of a
 * cancellation; `report`, whose payload is the bytes of an agent's heartbeat.
 * Answers to `user` and `report` are forwarded replies; in a mailbox they have
 * the same form.
 * Absent: `retryAfterS`, unless the caller may come back.
 * Versions: all send the same fields.
 */

import { isObject } from '../protocol/json-fields.js';

/** A user's request that is forwarded. */
export interface ForwardedRequest {
  method: string;
  /** Path and query. */
  target: string;
  body: Uint8Array;
}

/** The same as it is sent. */
export interface SentForwardedRequest {
  method: string;
  target: string;
  body: Uint8Array;
}

/** A cancellation that has been durable since this revision of the state service. */
export interface CancellationNotice {
  job: string;
  revision: number;
}

/** The same as it is sent. */
export interface SentCancellationNotice {
  job: string;
  revision: number;
}

/** A reply that is passed back to the controller that forwarded the request. */
export interface ForwardedReply {
  /** HTTP status. */
  status: number;
  body: unknown;
  /** Seconds after which the caller may come back. */
  retryAfterS?: number;
}

/** The same as it is sent. */
export interface SentReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
}

/** A request to forward. */
export function encodeForwardedRequest(request: ForwardedRequest): SentForwardedRequest {
  return { method: request.method, target: request.target, body: request.body };
}

/** Null: it is no object. */
export function decodeForwardedRequest(value: unknown): ForwardedRequest | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentForwardedRequest;
  return { method: sent.method, target: sent.target, body: sent.body };
}

/** A notice to send. */
export function encodeCancellationNotice(notice: CancellationNotice): SentCancellationNotice {
  return { job: notice.job, revision: notice.revision };
}

/** Null: it is no object. */
export function decodeCancellationNotice(value: unknown): CancellationNotice | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentCancellationNotice;
  return { job: sent.job, revision: sent.revision };
}

/** A reply to pass back. */
export function encodeForwardedReply(reply: ForwardedReply): SentReply {
  const sent: SentReply = { status: reply.status, body: reply.body };
  if (reply.retryAfterS !== undefined) sent.retryAfterS = reply.retryAfterS;
  return sent;
}

/** Null: it is no object. */
export function decodeForwardedReply(value: unknown): ForwardedReply | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentReply;
  const reply: ForwardedReply = { status: sent.status, body: sent.body };
  if (sent.retryAfterS !== undefined) reply.retryAfterS = sent.retryAfterS;
  return reply;
}
