/** A connection to a peer and the requests on it that wait for a response. */
import type net from 'node:net';
import { encodeFrame, type PeerFrame } from '../records/peer-frames.js';
import { packFrame } from './frames.js';

/** Limit on the frames buffered for a peer that stops reading; beyond it, the connection is closed. */
const MAX_UNSENT_BYTES = 1024 * 1024;

/**
 * A request received no response. If the peer is not connected, the request was
 * not sent; otherwise the peer may have handled it.
 */
export class PeerUnavailableError extends Error {
  constructor(
    readonly node: string,
    reason: 'is not connected' | 'closed the connection' | 'timed out',
  ) {
    super(`${node} ${reason}`);
  }
}

/** Encodes a frame for sending. */
export function frameBytes(frame: PeerFrame): Buffer {
  return packFrame(encodeFrame(frame));
}

/** Sends an encoded frame, or closes the connection when the peer has not read earlier frames. */
export function sendBytes(socket: net.Socket, bytes: Buffer): void {
  if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
  else socket.write(bytes);
}

/**
 * The connection that this node opened to a peer. It carries this node's
 * requests and their responses; the peer sends its own requests on another
 * connection. Invariant: a request is pending at most until its timeout or the
 * close of the connection, whichever comes first.
 */
export class PeerLink {
  /** Callbacks that resolve the pending requests, by request number. */
  private readonly pendingRequests = new Map<number, (payload: unknown) => void>();

  constructor(
    private readonly node: string,
    private readonly socket: net.Socket,
  ) {}

  /** Sends an encoded frame without waiting for a response. */
  send(bytes: Buffer): void {
    sendBytes(this.socket, bytes);
  }

  /**
   * Sends a request and resolves to the payload of its response. The request
   * number must be unique on this connection.
   *
   * @throws PeerUnavailableError when the connection closes or no response
   * arrives within `timeoutMs`.
   */
  request(requestNumber: number, operation: string, payload: unknown, timeoutMs: number) {
    return new Promise<unknown>((resolve, reject) => {
      const cleanUp = () => {
        clearTimeout(timer);
        this.pendingRequests.delete(requestNumber);
        this.socket.off('close', onClose);
      };
      const onClose = () => {
        cleanUp();
        reject(new PeerUnavailableError(this.node, 'closed the connection'));
      };
      const timer = setTimeout(() => {
        cleanUp();
        reject(new PeerUnavailableError(this.node, 'timed out'));
      }, timeoutMs);
      this.pendingRequests.set(requestNumber, (response) => {
        cleanUp();
        resolve(response);
      });
      this.socket.once('close', onClose);
      this.send(frameBytes({ kind: 'ask', requestNumber, operation, payload }));
    });
  }

  /** Handles a frame from the peer. A response whose request is no longer pending is dropped. */
  receive(frame: PeerFrame | null): void {
    if (frame?.kind === 'answer') this.pendingRequests.get(frame.requestNumber)?.(frame.payload);
  }
}
