/**
 * Payloads of requests between controllers and of their responses (peer-frames).
 *
 * - Requests: `user` forwards a user's request. `cancelled` announces a cancellation; its
 *   response is null. `report` relays an agent's heartbeat; its payload is the bytes of
 *   the heartbeat.
 * - Responses: The response to `user` or `report` is a forwarded reply. It has the same
 *   form in a mailbox.
 * - Absence: `retryAfterS` is absent unless the reply suggests a retry.
 * - Versions: All versions send the same fields.
 */

import { isObject } from '../protocol/json-fields.js';

/** A user's request that is forwarded to another controller. */
export interface ForwardedRequest {
  /** HTTP method. */
  method: string;
  /** Path and query of the request. */
  target: string;
  /** Bytes of the request's body, which may be empty. */
  body: Uint8Array;
}

/** The form in which a `ForwardedRequest` is sent. */
export interface SentForwardedRequest {
  method: string;
  target: string;
  body: Uint8Array;
}

/** The announcement of a job's cancellation. */
export interface CancellationNotice {
  /** Id of the cancelled job. */
  jobId: string;
  /** Revision of the state service at which the cancellation became durable. */
  revision: number;
}

/** The form in which a `CancellationNotice` is sent. */
export interface SentCancellationNotice {
  job: string;
  revision: number;
}

/** An HTTP reply for the controller that forwarded the request or relayed the heartbeat. */
export interface ForwardedReply {
  /** HTTP status code. */
  status: number;
  /** Body of the reply, before it is encoded as JSON. */
  body: unknown;
  /** Seconds after which the caller may retry. Absent when the reply does not suggest a retry. */
  retryAfterS?: number;
}

/** The form in which a `ForwardedReply` is sent. */
export interface SentForwardedReply {
  status: number;
  body: unknown;
  retryAfterS?: number;
}

/** Returns the form of the request that is sent. */
export function encodeForwardedRequest(request: ForwardedRequest): SentForwardedRequest {
  return { method: request.method, target: request.target, body: request.body };
}

/** Returns null when the value is not an object. The fields are not checked. */
export function decodeForwardedRequest(value: unknown): ForwardedRequest | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentForwardedRequest;
  return { method: sent.method, target: sent.target, body: sent.body };
}

/** Returns the form of the notice that is sent. */
export function encodeCancellationNotice(notice: CancellationNotice): SentCancellationNotice {
  return { job: notice.jobId, revision: notice.revision };
}

/** Returns null when the value is not an object. The fields are not checked. */
export function decodeCancellationNotice(value: unknown): CancellationNotice | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentCancellationNotice;
  return { jobId: sent.job, revision: sent.revision };
}

/** Returns the form of the reply that is sent. */
export function encodeForwardedReply(reply: ForwardedReply): SentForwardedReply {
  const sent: SentForwardedReply = { status: reply.status, body: reply.body };
  if (reply.retryAfterS !== undefined) sent.retryAfterS = reply.retryAfterS;
  return sent;
}

/** Returns null when the value is not an object. The fields are not checked. */
export function decodeForwardedReply(value: unknown): ForwardedReply | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentForwardedReply;
  const reply: ForwardedReply = { status: sent.status, body: sent.body };
  if (sent.retryAfterS !== undefined) reply.retryAfterS = sent.retryAfterS;
  return reply;
}
