/**
 * Questions and answers between controllers through the state service, for when
 * their own connections fail.
 *
 * Keys: `mail/<to>/<from>/<machine>`, attached to a lease. Each message is
 * overwritten by the next one of the same key, and nothing is kept beyond seconds.
 * Written and read: by any controller.
 * Absent: nothing in a message; a key, whenever there is no message.
 * Versions: `kind` is `ask` or `answer`; a message of another kind is ignored.
 */

import { isObject } from '../protocol/json-fields.js';

/** A question: a heartbeat that is passed on to the leader. */
export interface MailboxRequest {
  kind: 'ask';
  /** Sequence number among the questions of the controller that asks. */
  n: number;
  /** The controller that asks. */
  from: string;
  /** The process that asks: a restarted one takes no answer to a question of its predecessor. */
  incarnation: string;
  /** The heartbeat, as the agent sent it. */
  text: string;
}

/** The answer to a question. */
export interface MailboxResponse {
  kind: 'answer';
  /** Number and incarnation of the question. */
  n: number;
  incarnation: string;
  /** What was answered, in its stored form (peer-requests). */
  value: unknown;
}

/** A question as it is stored. */
export interface StoredMailboxRequest {
  kind: 'ask';
  n: number;
  from: string;
  incarnation: string;
  text: string;
}

/** An answer as it is stored. */
export interface StoredMailboxResponse {
  kind: 'answer';
  n: number;
  incarnation: string;
  value: unknown;
}

/** A message as it is stored. */
export type StoredMailboxMessage = StoredMailboxRequest | StoredMailboxResponse;

/** A question to write. */
export function encodeMailboxRequest(question: MailboxRequest): StoredMailboxRequest {
  return {
    kind: 'ask',
    n: question.n,
    from: question.from,
    incarnation: question.incarnation,
    text: question.text,
  };
}

/** An answer to write. */
export function encodeMailboxResponse(answer: MailboxResponse): StoredMailboxResponse {
  return {
    kind: 'answer',
    n: answer.n,
    incarnation: answer.incarnation,
    value: answer.value,
  };
}

/** Null: it is neither a question with a text nor an answer. */
export function decodeMailboxMessage(value: unknown): MailboxRequest | MailboxResponse | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredMailboxMessage;
  if (stored.kind === 'answer')
    return {
      kind: 'answer',
      n: stored.n,
      incarnation: stored.incarnation,
      value: stored.value,
    };
  if (stored.kind === 'ask' && typeof stored.text === 'string')
    return {
      kind: 'ask',
      n: stored.n,
      from: stored.from,
      incarnation: stored.incarnation,
      text: stored.text,
    };
  return null;
}
