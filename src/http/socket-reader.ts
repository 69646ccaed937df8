/** Reading of a socket with backpressure. */
import type net from 'node:net';

/**
 * What arrives on a socket, a piece at a time. The stream's own iterator does
 * the same and cost more than all the rest of a heartbeat's handling.
 */
export class SocketReader {
  private readonly chunks: Buffer[] = [];
  /** Waits in `next`. */
  private pendingRead: ((piece: Buffer | null) => void) | null = null;
  private ended = false;

  private constructor(private readonly socket: net.Socket) {}

  /** Begins to read the socket. Its errors stay with the caller. */
  static attach(socket: net.Socket): SocketReader {
    const reader = new SocketReader(socket);
    socket.on('data', (piece) => reader.receive(piece));
    socket.once('end', () => reader.end());
    socket.once('close', () => reader.end());
    return reader;
  }

  /** The next piece, once it is there; null once nothing more comes. One call at a time. */
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
    // Nobody reads before the reply has left, so no more is taken from the network either.
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
