/**
 * Who leads, and the last leader term.
 *
 * Keys: `leader`, attached to the leader's lease, so that it disappears with it;
 * `term`, a number, which stays.
 * Written: both in the transaction of an election, by the controller that wins.
 * Read: by every controller.
 * Absent: `leader` while nobody leads; `term` before the first election.
 * Versions: all write all fields.
 */

import { isObject } from '../protocol/json-fields.js';

/** The leader. Its fencing token is the term; its writes are conditioned on the version of this key. */
export interface LeaderRecord {
  /** Name of the controller. */
  node: string;
  /** Tells a restarted process from its predecessor. */
  incarnation: string;
  term: number;
  /** Id of the lease in the state service. */
  lease: number;
}

/** The leader as it is stored. */
export interface StoredLeader {
  node: string;
  incarnation: string;
  term: number;
  lease: number;
}

/** The record of a controller that campaigns. */
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

/** A leader term, as a number. */
export function encodeTerm(term: number): number {
  return term;
}

/** Null: it is no number. */
export function decodeTerm(value: unknown): number | null {
  return typeof value === 'number' ? value : null;
}
