import net from 'node:net';
import type { Address } from '../http/client.js';
import { decodeFrame, encodeFrame, type PeerStatus } from '../records/peer-frames.js';
import { type Clock, sleepUntilAborted } from '../runtime/clock.js';
import { FrameReader, packFrame } from './frames.js';

export type { PeerStatus } from '../records/peer-frames.js';

export interface PeerNetworkOptions {
  host: string;
  port: number;
  peers: { node: string; address: Address }[];
  clock: Clock;
  /** Redial and connect time-out. */
  retryMs: number;
  onStatus: (status: PeerStatus) => void;
  onRequest: (op: string, payload: unknown) => Promise<unknown>;
  onError: (error: unknown) => void;
}

interface Link {
  socket: net.Socket;
  waiting: Map<number, (payload: unknown) => void>;
}

/** A peer that stops reading must not make us hold its frames. */
const MAX_BACKLOG = 1024 * 1024;

/**
 * Connections between controllers. Each node dials every other one and sends
 * its own questions and status there; answers come back on the same connection.
 */
export class PeerNetwork {
  private readonly links = new Map<string, Link>();
  private asked = 0;

  constructor(private readonly options: PeerNetworkOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    const server = net.createServer({ noDelay: true }, (socket) => this.accept(socket, signal));
    // Each peer needs one; a little more lets a new one in before an old one is seen to be dead.
    server.maxConnections = this.options.peers.length * 4 + 4;
    server.on('error', this.options.onError);
    server.listen(this.options.port, this.options.host);
    signal.addEventListener('abort', () => server.close(), { once: true });
    await Promise.all(this.options.peers.map((p) => this.dial(p.node, p.address, signal)));
  }

  connected(node: string): boolean {
    return this.links.has(node);
  }

  /** Sends the status to every peer that is connected. */
  broadcast(status: PeerStatus): void {
    const data = packFrame(encodeFrame({ kind: 'status', status }));
    for (const link of this.links.values()) this.write(link.socket, data);
  }

  /** Rejects when the peer is not connected, the connection breaks or the time is over. */
  request(node: string, op: string, payload: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.links.get(node);
    if (!link) return Promise.reject(new Error(`${node} is not connected`));
    const n = ++this.asked;
    return new Promise((resolve, reject) => {
      const finish = () => {
        clearTimeout(timer);
        link.waiting.delete(n);
        link.socket.off('close', closed);
      };
      const closed = () => {
        finish();
        reject(new Error('peer connection closed'));
      };
      const timer = setTimeout(() => {
        finish();
        reject(new Error('peer timed out'));
      }, timeoutMs);
      link.waiting.set(n, (answer) => {
        finish();
        resolve(answer);
      });
      link.socket.once('close', closed);
      this.write(link.socket, packFrame(encodeFrame({ kind: 'ask', n, op, payload })));
    });
  }

  private write(socket: net.Socket, data: Buffer): void {
    if (socket.writableLength > MAX_BACKLOG) socket.destroy();
    else socket.write(data);
  }

  private async dial(node: string, address: Address, signal: AbortSignal): Promise<void> {
    const { clock, retryMs } = this.options;
    while (!signal.aborted) {
      await this.session(node, address, signal);
      await sleepUntilAborted(clock, retryMs, signal);
    }
  }

  /** One outgoing connection, from dialling to its end. */
  private session(node: string, address: Address, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const socket = net.connect({ ...address, noDelay: true });
      socket.setMaxListeners(0);
      const link: Link = { socket, waiting: new Map() };
      const reader = new FrameReader();
      const stop = () => socket.destroy();
      const timer = setTimeout(stop, this.options.retryMs * 2);
      signal.addEventListener('abort', stop, { once: true });
      socket.on('connect', () => {
        clearTimeout(timer);
        this.links.set(node, link);
      });
      socket.on('data', (data) => {
        try {
          for (const value of reader.push(data)) {
            const f = decodeFrame(value);
            if (f?.kind === 'answer') link.waiting.get(f.n)?.(f.payload);
          }
        } catch {
          socket.destroy();
        }
      });
      socket.on('error', stop);
      socket.once('close', () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', stop);
        if (this.links.get(node) === link) this.links.delete(node);
        resolve();
      });
    });
  }

  private accept(socket: net.Socket, signal: AbortSignal): void {
    const reader = new FrameReader();
    const stop = () => socket.destroy();
    signal.addEventListener('abort', stop, { once: true });
    // A peer tells its status often: silence for long means that it is gone.
    socket.setTimeout(this.options.retryMs * 30, stop);
    socket.on('error', stop);
    socket.once('close', () => signal.removeEventListener('abort', stop));
    socket.on('data', (data) => {
      try {
        for (const value of reader.push(data)) {
          const f = decodeFrame(value);
          if (f?.kind === 'status') this.options.onStatus(f.status);
          else if (f?.kind === 'ask') void this.answer(socket, f.n, f.op, f.payload);
        }
      } catch (error) {
        this.options.onError(error);
        socket.destroy();
      }
    });
  }

  private async answer(socket: net.Socket, n: number, op: string, payload: unknown): Promise<void> {
    try {
      const answer = await this.options.onRequest(op, payload);
      if (!socket.destroyed)
        this.write(socket, packFrame(encodeFrame({ kind: 'answer', n, payload: answer })));
    } catch (error) {
      // The asker's time runs out.
      this.options.onError(error);
    }
  }
}
