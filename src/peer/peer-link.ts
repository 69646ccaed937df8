/** An established connection to a peer, with the requests that wait for a response on it. */
import type net from 'node:net';
import { encodeFrame, type PeerFrame } from '../records/peer-frames.js';
import { packFrame } from './frames.js';

/** A peer that stops reading must not make this node buffer its frames without bound. */
const MAX_UNSENT_BYTES = 1024 * 1024;

/** A request got no response: the peer is not connected, the connection broke or the time is over. */
export class PeerUnavailableError extends Error {
  constructor(
    readonly node: string,
    reason: 'is not connected' | 'closed the connection' | 'timed out',
  ) {
    super(`${node} ${reason}`);
  }
}

/** The bytes of a frame, as they are sent. */
export function frameBytes(frame: PeerFrame): Buffer {
  return packFrame(encodeFrame(frame));
}

/** Sends a frame, or closes the connection if the peer does not take what was sent before. */
export function sendBytes(socket: net.Socket, bytes: Buffer): void {
  if (socket.writableLength > MAX_UNSENT_BYTES) socket.destroy();
  else socket.write(bytes);
}

/**
 * The connection that this node opened to a peer. Requests leave on it and
 * their responses arrive on it; the peer's own requests come on another one.
 * Invariant: a request waits no longer than its time-out or the connection's
 * end, whichever is first.
 */
export class PeerLink {
  /** By the request's number. */
  private readonly pendingRequests = new Map<number, (payload: unknown) => void>();

  constructor(
    private readonly node: string,
    private readonly socket: net.Socket,
  ) {}

  /** Sends bytes that need no response. */
  send(bytes: Buffer): void {
    sendBytes(this.socket, bytes);
  }

  /**
   * Sends a request; `number` is unique on this connection.
   *
   * @throws PeerUnavailableError without a response in time.
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
      this.send(frameBytes({ kind: 'ask', n: requestNumber, op: operation, payload }));
    });
  }

  /** Takes what the peer sent on this connection; a response that nobody waits for any more is dropped. */
  receive(frame: PeerFrame | null): void {
    if (frame?.kind === 'answer') this.pendingRequests.get(frame.n)?.(frame.payload);
  }
}
