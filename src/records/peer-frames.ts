/**
 * Frames between controllers: statuses, which each controller sends at regular
 * intervals, and requests with their responses.
 *
 * - Access: Every controller sends and receives frames. Nothing is stored.
 * - Absence: `memoryShort` is absent from the status of an earlier version.
 * - Versions: Two versions run side by side during an upgrade, so each must be able to
 *   read the frames of the other. A frame of an unknown kind is ignored.
 */

import { isObject } from '../protocol/json-fields.js';

/**
 * Progress of a live job: its id, the number of tasks that are done and the number that
 * are running.
 */
export type SentJobProgress = [jobId: string, done: number, running: number];

/** The status that a controller sends to the others at regular intervals. */
export interface PeerStatus {
  /** Name of the sending controller. */
  node: string;
  /** Identifies the process. Each restart of the controller sets a new value. */
  incarnation: string;
  /**
   * Wall-clock time at which the status was sent, in milliseconds since the epoch. A
   * network partition may delay the status.
   */
  sentAt: number;
  /** The highest leader term that the controller knows. */
  term: number;
  /** Whether the controller is the leader. */
  leading: boolean;
  /** Whether the state service serves the controller's requests. */
  stateServiceAvailable: boolean;
  /**
   * Whether the controller lacks memory for further jobs. Absent in the status of an
   * earlier version.
   */
  memoryShort?: boolean;
  /**
   * Progress of live jobs with tasks that are done or running, for display only. The number of
   * jobs is limited. Empty unless the controller is the leader.
   */
  taskCounts: SentJobProgress[];
}

/** The form in which a `PeerStatus` is sent. */
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

/**
 * A decoded frame: a status, a request (`ask`) or a response (`answer`).
 * `requestNumber` identifies a request on its connection, and the response has the
 * same number.
 */
export type PeerFrame =
  | { kind: 'status'; status: PeerStatus }
  | { kind: 'ask'; requestNumber: number; operation: string; payload: unknown }
  | { kind: 'answer'; requestNumber: number; payload: unknown };

/** The form in which a `PeerFrame` is sent. peer-requests defines the payloads. */
export type SentPeerFrame =
  | { kind: 'status'; status: SentPeerStatus }
  | { kind: 'ask'; n: number; op: string; payload: unknown }
  | { kind: 'answer'; n: number; payload: unknown };

function encodeStatus(status: PeerStatus): SentPeerStatus {
  // CBOR encodes a field whose value is undefined, which differs from an absent field.
  return {
    node: status.node,
    incarnation: status.incarnation,
    sentAt: status.sentAt,
    term: status.term,
    leading: status.leading,
    stateOk: status.stateServiceAvailable,
    ...(status.memoryShort === undefined ? {} : { memoryShort: status.memoryShort }),
    counts: status.taskCounts,
  };
}

function decodeStatus(sent: SentPeerStatus): PeerStatus {
  const status: PeerStatus = {
    node: sent.node,
    incarnation: sent.incarnation,
    sentAt: sent.sentAt,
    term: sent.term,
    leading: sent.leading,
    stateServiceAvailable: sent.stateOk,
    taskCounts: sent.counts,
  };
  if (sent.memoryShort !== undefined) status.memoryShort = sent.memoryShort;
  return status;
}

/** Returns the form of the frame that is sent. */
export function encodeFrame(frame: PeerFrame): SentPeerFrame {
  switch (frame.kind) {
    case 'status':
      return { kind: 'status', status: encodeStatus(frame.status) };
    case 'ask':
      return { kind: 'ask', n: frame.requestNumber, op: frame.operation, payload: frame.payload };
    case 'answer':
      return { kind: 'answer', n: frame.requestNumber, payload: frame.payload };
  }
}

/**
 * Returns null when the value is not an object, is of an unknown kind, or is a status
 * frame whose `status` is not an object. No other field is checked: the caller has to
 * check those of a status.
 */
export function decodeFrame(value: unknown): PeerFrame | null {
  if (!isObject(value)) return null;
  const sent = value as unknown as SentPeerFrame;
  switch (sent.kind) {
    case 'status':
      return isObject(sent.status) ? { kind: 'status', status: decodeStatus(sent.status) } : null;
    case 'ask':
      return { kind: 'ask', requestNumber: sent.n, operation: sent.op, payload: sent.payload };
    case 'answer':
      return { kind: 'answer', requestNumber: sent.n, payload: sent.payload };
    default:
      return null;
  }
}
