/**
 * The state service's protocol: keys with versions, lists, transactions that
 * compare versions and then write, leases and watches. The field names on the
 * wire appear here only.
 */
import { type JsonObject, MalformedMessageError, requireObject } from './json-fields.js';
import { PATHS } from './paths.js';

/** A key with its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** Revision of the store at which the key was last written. */
  version: number;
}

/** One write of a transaction. A key with a lease is deleted when the lease ends. */
export type Change =
  | { op: 'put'; key: string; value: unknown; lease?: number }
  | { op: 'delete'; key: string };

/** What must hold for a transaction to be carried out. */
export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: number;
}

/** One change as a watch shows it. */
export type StoreEvent =
  | { op: 'put'; key: string; value: unknown; version: number }
  | { op: 'delete'; key: string; version: number };

/** Keys under a prefix, in their order. */
export interface EntryPage {
  entries: Entry[];
  /** Further pages follow, after the last key of this one. */
  more: boolean;
  /** Revision of the store that the page shows. */
  revision: number;
}

/** Changes under a prefix, in their order. */
export interface EventBatch {
  events: StoreEvent[];
  /** Revision up to which the events are complete: the next watch goes on after it. */
  revision: number;
}

function integer(value: unknown, what: string): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0)
    throw new MalformedMessageError(`${what} must be an integer`);
  return value;
}

/** The target of one key. */
export function keyTarget(key: string): string {
  return `${PATHS.keys}/${key.split('/').map(encodeURIComponent).join('/')}`;
}

/** The target of one page: up to `limit` keys under the prefix and after the given one. */
export function listTarget(prefix: string, after: string | null, limit: number): string {
  const from = after === null ? '' : `&after=${encodeURIComponent(after)}`;
  return `${PATHS.keys}?starts=${encodeURIComponent(prefix)}${from}&limit=${limit}`;
}

/** The target of a watch for changes after a revision, answered after `waitMs` at the latest. */
export function watchTarget(prefix: string, after: number, waitMs: number): string {
  return `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`;
}

/** The target of a lease, or of its renewal. */
export function leaseTarget(id: number, touch: boolean): string {
  return `${PATHS.leases}/${id}${touch ? '/touch' : ''}`;
}

/** Body of a request for a lease of `ttlMs`. */
export function grantBody(ttlMs: number): JsonObject {
  return { lifeMs: ttlMs };
}

/** The id of a new lease. Throws `MalformedMessageError`. */
export function parseLease(body: unknown): number {
  return integer(requireObject(body).ticket, 'lease');
}

/** Body of a transaction. */
export function transactionBody(conditions: Condition[], changes: Change[]): JsonObject {
  return {
    when: conditions.map((condition) => ({ path: condition.key, stamp: condition.version })),
    writes: changes.map(encodeChange),
  };
}

function encodeChange(change: Change): JsonObject {
  if (change.op === 'delete') return { delete: change.key };
  if (change.lease === undefined) return { set: change.key, v: change.value };
  return { set: change.key, v: change.value, ticket: change.lease };
}

/** The store's revision with an answer. Throws `MalformedMessageError`. */
export function parseRevision(body: unknown): number {
  return integer(requireObject(body).ledgerRev, 'revision');
}

/** Keys whose conditions did not hold. */
export function parseFailed(body: unknown): string[] {
  const { failed } = requireObject(body);
  return Array.isArray(failed) ? failed.map(String) : [];
}

/** Throws `MalformedMessageError`. */
export function parseEntry(body: unknown): Entry {
  const fields = requireObject(body);
  if (typeof fields.path !== 'string') throw new MalformedMessageError('key');
  return { key: fields.path, value: fields.v, version: integer(fields.stamp, 'version') };
}

/** Throws `MalformedMessageError`. */
export function parsePage(body: unknown): EntryPage {
  const fields = requireObject(body);
  if (!Array.isArray(fields.rows)) throw new MalformedMessageError('rows');
  return {
    entries: fields.rows.map(parseEntry),
    more: fields.hasNext === true,
    revision: integer(fields.ledgerRev, 'revision'),
  };
}

/** Throws `MalformedMessageError`. */
export function parseEvents(body: unknown): EventBatch {
  const fields = requireObject(body);
  const events = Array.isArray(fields.news) ? fields.news : [];
  return {
    revision: integer(fields.ledgerRev, 'revision'),
    events: events.map(parseEvent),
  };
}

function parseEvent(value: unknown): StoreEvent {
  const fields = requireObject(value);
  const version = integer(fields.stamp, 'version');
  if (typeof fields.delete === 'string') return { op: 'delete', key: fields.delete, version };
  if (typeof fields.set !== 'string') throw new MalformedMessageError('event');
  return { op: 'put', key: fields.set, value: fields.v, version };
}
