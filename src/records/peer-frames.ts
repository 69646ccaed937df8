/**
 * What controllers send each other over their own connections, each in a frame
 * of its own: their status all the time, and questions with their answers.
 *
 * Sent and read: by every controller; nothing is stored.
 * Absent: `memoryShort`, which earlier versions do not send.
 * Versions: they meet while a new one is rolled out, so each reads what the other
 * sends; a frame of an unknown kind is ignored.
 */

import { isObject } from '../protocol/json-fields.js';

/** Progress of a live job as it is sent: done and running tasks. */
export type SentJobProgress = [jobId: string, done: number, running: number];

/** What a controller tells the others about itself, again and again. */
export interface PeerStatus {
  /** Name of the controller. */
  node: string;
  /** Tells a restarted process from its predecessor. */
  incarnation: string;
  /** Time of day at which it was sent, in milliseconds: a network partition may delay it. */
  sentAt: number;
  /** The highest leader term that it knows. */
  term: number;
  /** It leads. */
  leading: boolean;
  /** The state service serves this controller. */
  stateOk: boolean;
  /** It has no memory for further jobs. */
  memoryShort?: boolean;
  /** Progress of live jobs, from the leader, for display only. */
  counts: SentJobProgress[];
}

/** A status as it is sent. */
export interface SentPeerStatus {
  node: string;
  incarnation: string;
  sentAt: number;
  term: number;
  leading: boolean;
  stateOk: boolean;
  memoryShort?: boolean;
  counts: SentJobProgress[];
}

/** A frame as it is used. `n` numbers the questions of a connection; an answer has the number of its question. */
export type PeerFrame =
  | { kind: 'status'; status: PeerStatus }
  | { kind: 'ask'; n: number; op: string; payload: unknown }
  | { kind: 'answer'; n: number; payload: unknown };

/** A frame as it is sent. What `payload` holds is in peer-requests. */
export type SentPeerFrame =
  | { kind: 'status'; status: SentPeerStatus }
  | { kind: 'ask'; n: number; op: string; payload: unknown }
  | { kind: 'answer'; n: number; payload: unknown };

function encodeStatus(status: PeerStatus): SentPeerStatus {
  // A field whose value is undefined would be sent: in CBOR that is not the same as no field.
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

/** A frame to send. */
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

/** Null: it is no frame that this version knows. Whether a status is believed is for its reader to decide. */
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
