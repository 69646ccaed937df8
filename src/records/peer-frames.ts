import { isObject } from '../protocol/json-fields.js';

/**
 * What controllers send each other, each in a frame of its own: their status
 * all the time, and questions with their answers. Versions meet while a new
 * one is rolled out, so each reads what the other sends.
 */

/** What one controller tells the others about itself, again and again. */
export interface PeerStatus {
  node: string;
  incarnation: string;
  /** Time of day at which it was sent: a cut may hold it back. */
  sentAt: number;
  /** Highest term known. */
  term: number;
  leading: boolean;
  /** The state service serves this node. */
  stateOk: boolean;
  /** It has no memory for further jobs. Earlier versions do not say. */
  memoryShort?: boolean;
  /** Done and running tasks of live jobs, from the leader, for display only. */
  counts: [job: string, done: number, running: number][];
}

/** A status as it is sent. Earlier versions send no `memoryShort`. */
export interface SentPeerStatus {
  node: string;
  incarnation: string;
  sentAt: number;
  term: number;
  leading: boolean;
  stateOk: boolean;
  memoryShort?: boolean;
  counts: [job: string, done: number, running: number][];
}

export type PeerFrame =
  | { kind: 'status'; status: PeerStatus }
  | { kind: 'ask'; n: number; op: string; payload: unknown }
  | { kind: 'answer'; n: number; payload: unknown };

/** A frame as it is sent. What `payload` holds is in peer-questions. */
export type SentPeerFrame =
  | { kind: 'status'; status: SentPeerStatus }
  | { kind: 'ask'; n: number; op: string; payload: unknown }
  | { kind: 'answer'; n: number; payload: unknown };

function encodeStatus(status: PeerStatus): SentPeerStatus {
  // A field without a value would be sent: in CBOR it is not the same as none.
  return {
    node: status.node,
    incarnation: status.incarnation,
    sentAt: status.sentAt,
    term: status.term,
    leading: status.leading,
    stateOk: status.stateOk,
    ...(status.memoryShort === undefined ? {} : { memoryShort: status.memoryShort }),
    counts: status.counts,
  };
}

function decodeStatus(sent: SentPeerStatus): PeerStatus {
  const status: PeerStatus = {
    node: sent.node,
    incarnation: sent.incarnation,
    sentAt: sent.sentAt,
    term: sent.term,
    leading: sent.leading,
    stateOk: sent.stateOk,
    counts: sent.counts,
  };
  if (sent.memoryShort !== undefined) status.memoryShort = sent.memoryShort;
  return status;
}

export function encodeFrame(frame: PeerFrame): SentPeerFrame {
  switch (frame.kind) {
    case 'status':
      return { kind: 'status', status: encodeStatus(frame.status) };
    case 'ask':
      return { kind: 'ask', n: frame.n, op: frame.op, payload: frame.payload };
    case 'answer':
      return { kind: 'answer', n: frame.n, payload: frame.payload };
  }
}

/** Null: it is no frame that this version knows. Whether a status is believed is for its reader to see. */
export function decodeFrame(value: unknown): PeerFrame | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentPeerFrame;
  switch (sent.kind) {
    case 'status':
      return isObject(sent.status) ? { kind: 'status', status: decodeStatus(sent.status) } : null;
    case 'ask':
      return { kind: 'ask', n: sent.n, op: sent.op, payload: sent.payload };
    case 'answer':
      return { kind: 'answer', n: sent.n, payload: sent.payload };
    default:
      return null;
  }
}
