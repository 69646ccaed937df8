/**
 * The protocol of the state service: versioned keys, lists, compare-and-swap
 * transactions, leases and watches. Only this file contains the field names on the wire.
 */
import { type JsonObject, MalformedMessageError, requireObject } from './json-fields.js';
import { PATHS } from './paths.js';

/** A key and its value. */
export interface Entry {
  key: string;
  value: unknown;
  /** Revision of the store at which the key was last written. */
  version: number;
}

/**
 * One write of a transaction. `lease` is the id of a lease; the key is deleted when the
 * lease ends.
 */
export type Change =
  | { op: 'put'; key: string; value: unknown; lease?: number }
  | { op: 'delete'; key: string };

/** A condition of a transaction: the key has this version. */
export interface Condition {
  key: string;
  /** The required version. 0 means that the key must not exist. */
  version: number;
}

/** One change that a watch reports. `version` is the revision at which it was made. */
export type StoreEvent =
  | { op: 'put'; key: string; value: unknown; version: number }
  | { op: 'delete'; key: string; version: number };

/** One page of the entries under a prefix, in the order of their keys. */
export interface EntryPage {
  entries: Entry[];
  /** Whether further pages follow, after the last key of this one. */
  more: boolean;
  /** Revision of the store at which the page was read. */
  revision: number;
}

/** Changes under a prefix, in the order in which they were made. */
export interface EventBatch {
  events: StoreEvent[];
  /** Revision up to which the events are complete. The next watch continues after it. */
  revision: number;
}

function requireInteger(value: unknown, name: string): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0)
    throw new MalformedMessageError(`${name} must be an integer`);
  return value;
}

/** Returns the target of one key. */
export function keyTarget(key: string): string {
  return `${PATHS.keys}/${key.split('/').map(encodeURIComponent).join('/')}`;
}

/**
 * Returns the target of one page: up to `limit` keys under the prefix, after the key
 * `after` if it is not null.
 */
export function listTarget(prefix: string, after: string | null, limit: number): string {
  const afterParameter = after === null ? '' : `&after=${encodeURIComponent(after)}`;
  return `${PATHS.keys}?starts=${encodeURIComponent(prefix)}${afterParameter}&limit=${limit}`;
}

/**
 * Returns the target of a watch for changes under the prefix after the revision `after`.
 * The service responds after `waitMs` milliseconds at the latest.
 */
export function watchTarget(prefix: string, after: number, waitMs: number): string {
  return `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`;
}

/** Returns the target of a lease, or of its renewal if `renewal` is true. */
export function leaseTarget(id: number, renewal: boolean): string {
  return `${PATHS.leases}/${id}${renewal ? '/touch' : ''}`;
}

/**
 * Returns the body of a request for a lease that ends after `ttlMs` milliseconds without
 * a renewal.
 */
export function grantBody(ttlMs: number): JsonObject {
  return { lifeMs: ttlMs };
}

/** Returns the id of a new lease. Throws `MalformedMessageError`. */
export function parseLeaseId(body: unknown): number {
  return requireInteger(requireObject(body).ticket, 'lease');
}

/** Returns the body of a transaction. */
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

/** Returns the revision of the store in a response. Throws `MalformedMessageError`. */
export function parseRevision(body: unknown): number {
  return requireInteger(requireObject(body).ledgerRev, 'revision');
}

/**
 * Returns the keys whose conditions did not hold; none when the response has no list of
 * them. Throws `MalformedMessageError`.
 */
export function parseFailedKeys(body: unknown): string[] {
  const { failed } = requireObject(body);
  return Array.isArray(failed) ? failed.map(String) : [];
}

/** Parses one entry. Throws `MalformedMessageError`. */
export function parseEntry(body: unknown): Entry {
  const fields = requireObject(body);
  if (typeof fields.path !== 'string') throw new MalformedMessageError('key');
  return { key: fields.path, value: fields.v, version: requireInteger(fields.stamp, 'version') };
}

/** Parses one page of a list. Throws `MalformedMessageError`. */
export function parsePage(body: unknown): EntryPage {
  const fields = requireObject(body);
  if (!Array.isArray(fields.rows)) throw new MalformedMessageError('rows');
  return {
    entries: fields.rows.map(parseEntry),
    more: fields.hasNext === true,
    revision: requireInteger(fields.ledgerRev, 'revision'),
  };
}

/**
 * Parses the response to a watch; it has no events when the list is absent. Throws
 * `MalformedMessageError`.
 */
export function parseEvents(body: unknown): EventBatch {
  const fields = requireObject(body);
  const events = Array.isArray(fields.news) ? fields.news : [];
  return {
    revision: requireInteger(fields.ledgerRev, 'revision'),
    events: events.map(parseEvent),
  };
}

function parseEvent(value: unknown): StoreEvent {
  const fields = requireObject(value);
  const version = requireInteger(fields.stamp, 'version');
  if (typeof fields.delete === 'string') return { op: 'delete', key: fields.delete, version };
  if (typeof fields.set !== 'string') throw new MalformedMessageError('event');
  return { op: 'put', key: fields.set, value: fields.v, version };
}
