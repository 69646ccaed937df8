/**
 * Requests and responses that controllers exchange through the state service when
 * their own connections fail.
 *
 * - Keys: `mail/<to>/<from>/<machine>`, attached to a lease that deletes the key after
 *   some seconds. Each message replaces the previous one under the same key.
 * - Access: Every controller writes and reads messages.
 * - Absence: A message has all of its fields. A key is absent while there is no message.
 * - Versions: `kind` is `ask` for a request and `answer` for a response. A message of
 *   another kind is ignored.
 */

import { isObject } from '../protocol/json-fields.js';

/** A request: a heartbeat that is relayed to the leader. */
export interface MailboxRequest {
  kind: 'ask';
  /** Number of the request among those of the requesting process, from 1. */
  requestNumber: number;
  /** Name of the requesting controller. */
  from: string;
  /**
   * Identifies the requesting process, so that a restarted one ignores responses to the
   * previous process of the node.
   */
  incarnation: string;
  /** The heartbeat as JSON, as the agent sent it. */
  text: string;
}

/** The response to a request. */
export interface MailboxResponse {
  kind: 'answer';
  /** Number of the request. */
  requestNumber: number;
  /** Incarnation in the request. */
  incarnation: string;
  /** The reply to the heartbeat, as a `SentForwardedReply` (peer-requests). */
  value: unknown;
}

/** The stored form of `MailboxRequest`. */
export interface StoredMailboxRequest {
  kind: 'ask';
  /** Number of the request. */
  n: number;
  from: string;
  incarnation: string;
  text: string;
}

/** The stored form of `MailboxResponse`. */
export interface StoredMailboxResponse {
  kind: 'answer';
  /** Number of the request. */
  n: number;
  incarnation: string;
  value: unknown;
}

/** The stored form of any mailbox message. */
export type StoredMailboxMessage = StoredMailboxRequest | StoredMailboxResponse;

/** Returns the stored form of a request. */
export function encodeMailboxRequest(request: MailboxRequest): StoredMailboxRequest {
  return {
    kind: 'ask',
    n: request.requestNumber,
    from: request.from,
    incarnation: request.incarnation,
    text: request.text,
  };
}

/** Returns the stored form of a response. */
export function encodeMailboxResponse(response: MailboxResponse): StoredMailboxResponse {
  return {
    kind: 'answer',
    n: response.requestNumber,
    incarnation: response.incarnation,
    value: response.value,
  };
}

/**
 * Returns null when the value is not an object, is of another kind, or is a request
 * whose `text` is not a string. No other field is checked.
 */
export function decodeMailboxMessage(value: unknown): MailboxRequest | MailboxResponse | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredMailboxMessage;
  if (stored.kind === 'answer')
    return {
      kind: 'answer',
      requestNumber: stored.n,
      incarnation: stored.incarnation,
      value: stored.value,
    };
  if (stored.kind === 'ask' && typeof stored.text === 'string')
    return {
      kind: 'ask',
      requestNumber: stored.n,
      from: stored.from,
      incarnation: stored.incarnation,
      text: stored.text,
    };
  return null;
}
