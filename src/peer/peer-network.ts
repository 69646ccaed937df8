/** Connections between controllers. */
import net from 'node:net';
import type { Address } from '../http/client.js';
import { decodeFrame, type PeerFrame, type PeerStatus } from '../records/peer-frames.js';
import { type Clock, sleepUntilAborted } from '../runtime/clock.js';
import { FrameReader } from './frames.js';
import { frameBytes, PeerLink, PeerUnavailableError, sendBytes } from './peer-link.js';

/**
 * Incoming connections are limited to this many for each peer plus the spare
 * ones, since a peer may reconnect before its old connection is detected as dead.
 */
const CONNECTIONS_PER_PEER = 4;
const SPARE_CONNECTIONS = 4;

/** Connect timeout, in multiples of `reconnectDelayMs`. */
const CONNECT_TIMEOUT_DELAYS = 2;

/** Idle timeout of incoming connections, in multiples of `reconnectDelayMs`. Peers send their status far more often. */
const IDLE_TIMEOUT_DELAYS = 30;

/** Name and address of a peer. */
export interface PeerAddress {
  node: string;
  address: Address;
}

/** Dependencies and callbacks of a `PeerNetwork`. */
export interface PeerNetworkOptions {
  /** Host and port on which to listen for peers. */
  host: string;
  port: number;
  peers: PeerAddress[];
  clock: Clock;
  /** Delay between attempts to connect to a peer. */
  reconnectDelayMs: number;
  /** Called with each status that a peer sends. Its fields have not been validated. */
  onStatus: (status: PeerStatus) => void;
  /**
   * Handles a request of a peer and resolves to the payload of the response.
   * When it rejects, no response is sent and the peer's request times out.
   */
  onRequest: (operation: string, payload: unknown) => Promise<unknown>;
  /** Called with errors of the listening socket, of received frames and of `onRequest`; none is fatal. */
  onError: (error: unknown) => void;
}

/**
 * Connects this node to all of its peers. Each node opens a connection to every
 * other node and sends its requests and status on it; responses arrive on the
 * same connection. Two nodes therefore have two connections between them, and a
 * partition may break only one of these.
 */
export class PeerNetwork {
  /** Established connections that this node opened, by the name of the peer. */
  private readonly links = new Map<string, PeerLink>();
  private lastRequestNumber = 0;

  constructor(private readonly options: PeerNetworkOptions) {}

  /** Listens for peers, and connects and reconnects to each of them, until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { host, port, peers, onError } = this.options;
    const server = net.createServer({ noDelay: true }, (socket) => this.accept(socket, signal));
    server.maxConnections = peers.length * CONNECTIONS_PER_PEER + SPARE_CONNECTIONS;
    server.on('error', onError);
    server.listen(port, host);
    signal.addEventListener('abort', () => server.close(), { once: true });
    await Promise.all(peers.map((peer) => this.keepConnected(peer, signal)));
  }

  /** Reports whether the connection that this node opens to the peer is established. */
  isConnected(node: string): boolean {
    return this.links.has(node);
  }

  /** Sends the status to every connected peer. */
  broadcast(status: PeerStatus): void {
    const bytes = frameBytes({ kind: 'status', status });
    for (const link of this.links.values()) link.send(bytes);
  }

  /**
   * Sends a request and resolves to the payload of its response.
   *
   * @throws PeerUnavailableError when the peer is not connected, the
   * connection closes or no response arrives within `timeoutMs`.
   */
  request(node: string, operation: string, payload: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.links.get(node);
    if (!link) return Promise.reject(new PeerUnavailableError(node, 'is not connected'));
    return link.request(++this.lastRequestNumber, operation, payload, timeoutMs);
  }

  private async keepConnected(peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const { clock, reconnectDelayMs } = this.options;
    while (!signal.aborted) {
      await this.connect(peer, signal);
      await sleepUntilAborted(clock, reconnectDelayMs, signal);
    }
  }

  /** Opens a connection to a peer. Resolves when it has closed, even if it was never established. */
  private connect({ node, address }: PeerAddress, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const socket = net.connect({ ...address, noDelay: true });
      // Each pending request adds a 'close' listener; 0 removes the limit on listeners.
      socket.setMaxListeners(0);
      const link = new PeerLink(node, socket);
      const close = () => socket.destroy();
      const timer = setTimeout(close, this.options.reconnectDelayMs * CONNECT_TIMEOUT_DELAYS);
      signal.addEventListener('abort', close, { once: true });
      socket.on('connect', () => {
        clearTimeout(timer);
        this.links.set(node, link);
      });
      // An invalid frame closes the connection; `keepConnected` opens a new one.
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

  /** Accepts a connection on which a peer sends its status and requests. */
  private accept(socket: net.Socket, signal: AbortSignal): void {
    const close = () => socket.destroy();
    signal.addEventListener('abort', close, { once: true });
    socket.setTimeout(this.options.reconnectDelayMs * IDLE_TIMEOUT_DELAYS, close);
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
    else if (frame?.kind === 'ask')
      void this.respond(socket, frame.requestNumber, frame.operation, frame.payload);
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
        sendBytes(socket, frameBytes({ kind: 'answer', requestNumber, payload: response }));
    } catch (error) {
      // No response is sent, so the peer's request times out.
      this.options.onError(error);
    }
  }
}

/**
 * Calls `onFrame` with each frame that arrives, or with null for a frame of a
 * kind that this version does not know. Calls `onError` with errors of decoding
 * or handling a frame.
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
