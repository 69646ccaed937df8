/**
 * The current leader and the last leader term.
 *
 * - Keys: `leader` is attached to the leader's lease and deleted when the lease ends.
 *   `term` holds a number and is never deleted.
 * - Access: The controller that wins an election writes both in one transaction. Every
 *   controller reads them.
 * - Absence: `leader` is absent while there is no leader, `term` before the first election.
 * - Versions: All versions write all fields.
 */

import { isObject } from '../protocol/json-fields.js';

/**
 * The current leader. Its fencing token is the term. Its writes are conditioned on the
 * version of this key.
 */
export interface LeaderRecord {
  /** Name of the leading controller. */
  node: string;
  /** Identifies the process. Each restart of the controller sets a new value. */
  incarnation: string;
  /** The leader term, an integer that each election raises. */
  term: number;
  /** Id of the leader's lease in the state service. */
  lease: number;
}

/** The stored form of `LeaderRecord`, with the same fields. */
export interface StoredLeader {
  node: string;
  incarnation: string;
  term: number;
  lease: number;
}

/** Returns the stored form of the record that a candidate writes. */
export function encodeLeaderRecord(record: LeaderRecord): StoredLeader {
  return {
    node: record.node,
    incarnation: record.incarnation,
    term: record.term,
    lease: record.lease,
  };
}

/** Returns null when a field is missing or has another type. Such a record names no leader. */
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

/** Returns the stored form of a leader term, which is the number itself. */
export function encodeTerm(term: number): number {
  return term;
}

/** Returns null when the value is not a number. */
export function decodeTerm(value: unknown): number | null {
  return typeof value === 'number' ? value : null;
}
