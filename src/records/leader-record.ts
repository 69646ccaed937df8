import { isObject } from '../protocol/json-fields.js';

/**
 * Who leads, `leader`, attached to the leader's lease, and the last term that
 * was won, `term`, a number. Both are written in the transaction of an
 * election; every node reads them.
 */

export interface LeaderRecord {
  node: string;
  /** Tells a restarted process from its predecessor. */
  incarnation: string;
  term: number;
  lease: number;
}

/** The leader as its key holds it. All versions write all fields. */
export interface StoredLeader {
  node: string;
  incarnation: string;
  term: number;
  lease: number;
}

export function encodeLeaderRecord(record: LeaderRecord): StoredLeader {
  return {
    node: record.node,
    incarnation: record.incarnation,
    term: record.term,
    lease: record.lease,
  };
}

/** Null: a field is missing or of another type, so that nobody leads by it. */
export function decodeLeaderRecord(value: unknown): LeaderRecord | null {
  if (!isObject(value)) return null;
  const { node, incarnation, term, lease } = value;
  if (
    typeof node !== 'string' ||
    typeof incarnation !== 'string' ||
    typeof term !== 'number' ||
    typeof lease !== 'number'
  )
    return null;
  return { node, incarnation, term, lease };
}

export function encodeTerm(term: number): number {
  return term;
}

/** Null: it is no number. */
export function decodeTerm(value: unknown): number | null {
  return typeof value === 'number' ? value : null;
}
