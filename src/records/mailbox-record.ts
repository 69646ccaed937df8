import { isObject } from '../protocol/json-fields.js';

/**
 * Questions and answers between controllers by way of the state service,
 * `mail/<to>/<from>/<machine>`. Each is overwritten by the next and hangs on
 * a lease. Any node writes and reads them; nothing is kept beyond seconds.
 */

export interface MailboxRequest {
  kind: 'ask';
  /** Numbers the asker's questions. */
  n: number;
  from: string;
  /** The asker's: a later process takes no answer to an earlier one. */
  incarnation: string;
  text: string;
}

export interface MailboxResponse {
  kind: 'answer';
  /** Number and incarnation of the question. */
  n: number;
  incarnation: string;
  /** What was answered, in its stored form. */
  value: unknown;
}

export interface StoredMailboxRequest {
  kind: 'ask';
  n: number;
  from: string;
  incarnation: string;
  text: string;
}

export interface StoredMailboxResponse {
  kind: 'answer';
  n: number;
  incarnation: string;
  value: unknown;
}

export type StoredMailboxMessage = StoredMailboxRequest | StoredMailboxResponse;

export function encodeMailboxRequest(question: MailboxRequest): StoredMailboxRequest {
  return {
    kind: 'ask',
    n: question.n,
    from: question.from,
    incarnation: question.incarnation,
    text: question.text,
  };
}

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
