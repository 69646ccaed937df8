/** Reads a socket with backpressure. */
import type net from 'node:net';

/**
 * Reads the data of a socket chunk by chunk. It replaces the stream's own async
 * iterator, which costs more CPU time than the rest of the handling of a
 * heartbeat.
 */
export class SocketReader {
  private readonly chunks: Buffer[] = [];
  /** Resolves the pending call of `next`; null when there is none. */
  private pendingRead: ((chunk: Buffer | null) => void) | null = null;
  private ended = false;

  private constructor(private readonly socket: net.Socket) {}

  /** Starts reading the socket. Socket errors are left to the caller. */
  static attach(socket: net.Socket): SocketReader {
    const reader = new SocketReader(socket);
    socket.on('data', (chunk) => reader.receive(chunk));
    socket.once('end', () => reader.end());
    socket.once('close', () => reader.end());
    return reader;
  }

  /** Resolves to the next chunk, or to null after the end of the data. Only one call may be pending. */
  next(): Promise<Buffer | null> {
    const chunk = this.chunks.shift();
    if (chunk) return Promise.resolve(chunk);
    if (this.ended) return Promise.resolve(null);
    if (this.socket.isPaused()) this.socket.resume();
    return new Promise((resolve) => {
      this.pendingRead = resolve;
    });
  }

  private receive(chunk: Buffer): void {
    if (this.pendingRead) {
      this.completeRead(chunk);
      return;
    }
    // No call of `next` is pending until the reply is written. Pausing the socket stops reading from the network.
    this.chunks.push(chunk);
    this.socket.pause();
  }

  private end(): void {
    this.ended = true;
    this.completeRead(null);
  }

  private completeRead(chunk: Buffer | null): void {
    const { pendingRead } = this;
    this.pendingRead = null;
    pendingRead?.(chunk);
  }
}
