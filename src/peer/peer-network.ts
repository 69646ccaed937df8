/** Connections between controllers. */
import net from 'node:net';
import type { Address } from '../http/client.js';
import { decodeFrame, type PeerFrame, type PeerStatus } from '../records/peer-frames.js';
import { type Clock, sleepUntilAborted } from '../runtime/clock.js';
import { FrameReader } from './frames.js';
import { frameBytes, PeerLink, PeerUnavailableError, sendBytes } from './peer-link.js';

/** Connections accepted for each peer, and beyond: a new one gets in before an old one is seen to be dead. */
const CONNECTIONS_PER_PEER = 4;
const SPARE_CONNECTIONS = 4;

/** How long connecting may take, in pauses between attempts. */
const CONNECT_TIMEOUT_DELAYS = 2;

/** A connection on which nothing arrives for this many such pauses is closed: statuses come far more often. */
const IDLE_TIMEOUT_DELAYS = 30;

/** A peer that is connected to. */
export interface PeerAddress {
  node: string;
  address: Address;
}

/** What a network needs, and whom it calls. */
export interface PeerNetworkOptions {
  /** The address to listen on. */
  host: string;
  port: number;
  peers: PeerAddress[];
  clock: Clock;
  /** The pause between attempts to connect. */
  retryMs: number;
  /** A peer sent its status. The fields have not been checked. */
  onStatus: (status: PeerStatus) => void;
  /** A peer sent a request; resolves to the payload of the response. Without one the peer's request times out. */
  onRequest: (operation: string, payload: unknown) => Promise<unknown>;
  /** A connection or a request failed. Never fatal. */
  onError: (error: unknown) => void;
}

/**
 * Each node connects to every other one and sends its own requests and status
 * there; responses come back on the same connection. So between two nodes
 * there are two connections, and a partition may break one of them alone.
 */
export class PeerNetwork {
  /** Connections that this node opened and that are established, by peer. */
  private readonly links = new Map<string, PeerLink>();
  private lastRequestNumber = 0;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Listens, and keeps connecting to each peer, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { host, port, peers, onError } = this.options;
    const server = net.createServer({ noDelay: true }, (socket) => this.accept(socket, signal));
    server.maxConnections = peers.length * CONNECTIONS_PER_PEER + SPARE_CONNECTIONS;
    server.on('error', onError);
    server.listen(port, host);
    signal.addEventListener('abort', () => server.close(), { once: true });
    await Promise.all(peers.map((peer) => this.keepConnected(peer, signal)));
  }

  /** Whether this node's own connection to the peer is established. */
  isConnected(node: string): boolean {
    return this.links.has(node);
  }

  /** Sends the status to every peer that is connected. */
  broadcast(status: PeerStatus): void {
    const bytes = frameBytes({ kind: 'status', status });
    for (const link of this.links.values()) link.send(bytes);
  }

  /**
   * Sends a request and resolves to the payload of its response.
   *
   * @throws PeerUnavailableError when the peer is not connected, the
   * connection breaks or the time is over.
   */
  request(node: string, operation: string, payload: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.links.get(node);
    if (!link) return Promise.reject(new PeerUnavailableError(node, 'is not connected'));
    return link.request(++this.lastRequestNumber, operation, payload, timeoutMs);
  }

  private async keepConnected(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { clock, retryMs } = this.options;
    while (!signal.aborted) {
      await this.connect(peer, signal);
      await sleepUntilAborted(clock, retryMs, signal);
    }
  }

  /** One outgoing connection; resolves when it has ended, whether it was ever established or not. */
  private connect({ node, address }: PeerAddress, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const socket = net.connect({ ...address, noDelay: true });
      // Each request that waits listens for the end of the connection.
      socket.setMaxListeners(0);
      const link = new PeerLink(node, socket);
      const close = () => socket.destroy();
      const timer = setTimeout(close, this.options.retryMs * CONNECT_TIMEOUT_DELAYS);
      signal.addEventListener('abort', close, { once: true });
      socket.on('connect', () => {
        clearTimeout(timer);
        this.links.set(node, link);
      });
      // What a peer sends here that is no frame closes the connection; it is opened anew.
      readFrames(socket, (frame) => link.receive(frame), close);
      socket.on('error', close);
      socket.once('close', () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', close);
        if (this.links.get(node) === link) this.links.delete(node);
        resolve();
      });
    });
  }

  /** One incoming connection, on which a peer sends its status and requests. */
  private accept(socket: net.Socket, signal: AbortSignal): void {
    const close = () => socket.destroy();
    signal.addEventListener('abort', close, { once: true });
    socket.setTimeout(this.options.retryMs * IDLE_TIMEOUT_DELAYS, close);
    socket.on('error', close);
    socket.once('close', () => signal.removeEventListener('abort', close));
    readFrames(
      socket,
      (frame) => this.receive(socket, frame),
      (error) => {
        this.options.onError(error);
        socket.destroy();
      },
    );
  }

  private receive(socket: net.Socket, frame: PeerFrame | null): void {
    if (frame?.kind === 'status') this.options.onStatus(frame.status);
    else if (frame?.kind === 'ask') void this.respond(socket, frame.n, frame.op, frame.payload);
  }

  private async respond(
    socket: net.Socket,
    requestNumber: number,
    operation: string,
    payload: unknown,
  ): Promise<void> {
    try {
      const response = await this.options.onRequest(operation, payload);
      if (!socket.destroyed)
        sendBytes(socket, frameBytes({ kind: 'answer', n: requestNumber, payload: response }));
    } catch (error) {
      // No response is sent: the peer's request times out.
      this.options.onError(error);
    }
  }
}

/**
 * Calls `onFrame` for each frame that arrives; null stands for one that this
 * version does not know. `onError` gets what reading or handling one throws.
 */
function readFrames(
  socket: net.Socket,
  onFrame: (frame: PeerFrame | null) => void,
  onError: (error: unknown) => void,
): void {
  const reader = new FrameReader();
  socket.on('data', (data) => {
    try {
      for (const value of reader.push(data)) onFrame(decodeFrame(value));
    } catch (error) {
      onError(error);
    }
  });
}
