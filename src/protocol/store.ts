/** The state service's words and shapes. */
import { isObject, MalformedMessageError, PATHS } from './wire.js';

export interface Entry {
  key: string;
  value: unknown;
  version: number;
}

export type Change =
  | { op: 'put'; key: string; value: unknown; lease?: number }
  | { op: 'delete'; key: string };

export interface Condition {
  key: string;
  /** 0: the key must not exist. */
  version: number;
}

export type StoreEvent =
  | { op: 'put'; key: string; value: unknown; version: number }
  | { op: 'delete'; key: string; version: number };

function integer(v: unknown, what: string): number {
  if (typeof v !== 'number' || !Number.isSafeInteger(v) || v < 0)
    throw new MalformedMessageError(`${what} must be an integer`);
  return v;
}

function object(v: unknown): Record<string, unknown> {
  if (!isObject(v)) throw new MalformedMessageError('not an object');
  return v;
}

export function keyTarget(key: string): string {
  return `${PATHS.store}/${key.split('/').map(encodeURIComponent).join('/')}`;
}

export function listTarget(prefix: string, after: string | null, limit: number): string {
  const from = after === null ? '' : `&after=${encodeURIComponent(after)}`;
  return `${PATHS.store}?starts=${encodeURIComponent(prefix)}${from}&limit=${limit}`;
}

export function watchTarget(prefix: string, after: number, waitMs: number): string {
  return `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`;
}

export function leaseTarget(id: number, touch: boolean): string {
  return `${PATHS.leases}/${id}${touch ? '/touch' : ''}`;
}

export function grantBody(ttlMs: number): unknown {
  return { lifeMs: ttlMs };
}

export function parseLease(body: unknown): number {
  return integer(object(body).ticket, 'lease');
}

export function transactionBody(conditions: Condition[], changes: Change[]): unknown {
  return {
    when: conditions.map((condition) => ({ path: condition.key, stamp: condition.version })),
    writes: changes.map((change) =>
      change.op === 'delete'
        ? { delete: change.key }
        : change.lease === undefined
          ? { set: change.key, v: change.value }
          : { set: change.key, v: change.value, ticket: change.lease },
    ),
  };
}

export function parseRevision(body: unknown): number {
  return integer(object(body).ledgerRev, 'revision');
}

export function parseFailed(body: unknown): string[] {
  const failed = object(body).failed;
  return Array.isArray(failed) ? failed.map(String) : [];
}

export function parseEntry(body: unknown): Entry {
  const o = object(body);
  if (typeof o.path !== 'string') throw new MalformedMessageError('key');
  return { key: o.path, value: o.v, version: integer(o.stamp, 'version') };
}

export function parsePage(body: unknown): { entries: Entry[]; more: boolean; revision: number } {
  const o = object(body);
  if (!Array.isArray(o.rows)) throw new MalformedMessageError('rows');
  return {
    entries: o.rows.map(parseEntry),
    more: o.hasNext === true,
    revision: integer(o.ledgerRev, 'revision'),
  };
}

export function parseEvents(body: unknown): { events: StoreEvent[]; revision: number } {
  const o = object(body);
  const news = Array.isArray(o.news) ? o.news : [];
  return {
    revision: integer(o.ledgerRev, 'revision'),
    events: news.map((v): StoreEvent => {
      const e = object(v);
      const version = integer(e.stamp, 'version');
      if (typeof e.delete === 'string') return { op: 'delete', key: e.delete, version };
      if (typeof e.set !== 'string') throw new MalformedMessageError('event');
      return { op: 'put', key: e.set, value: e.v, version };
    }),
  };
}
