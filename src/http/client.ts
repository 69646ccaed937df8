import net from 'node:net';
import {
  NoResponseError,
  NotAttemptedError,
  NotSentError,
  ResponseTooLargeError,
} from './errors.js';
import { BodyTooLarge, type Message, Parser } from './parser.js';

export interface Address {
  host: string;
  port: number;
}

export interface HttpResponse {
  status: number;
  body: unknown;
}

interface Pooled {
  socket: net.Socket;
  parser: Parser;
}

const always = () => true;

interface Waiter {
  resolve: (socket: Pooled) => void;
  reject: (error: Error) => void;
}

/**
 * A keep-alive client for one address with a bounded number of connections.
 * A connection is used by one request at a time and dropped after any fault.
 */
export class HttpClient {
  private idle: Pooled[] = [];
  private open = 0;
  private waiting: Waiter[] = [];
  private closed = false;

  constructor(
    private readonly address: Address,
    private readonly options: { connections: number; bodyLimit: number },
  ) {}

  /**
   * `fit` is asked at the moment when the request would leave: what waited for
   * its turn or connection, or slept with a process that stood still, may rest
   * on an entitlement that has ended.
   */
  async request(
    method: string,
    target: string,
    body: unknown,
    timeoutMs: number,
    signal?: AbortSignal,
    fit: () => boolean = always,
  ): Promise<HttpResponse> {
    const payload = body === undefined ? '' : JSON.stringify(body);
    const text = `${method} ${target} HTTP/1.1\r\nHost: ${this.address.host}:${this.address.port}\r\n${
      body === undefined
        ? ''
        : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(payload)}\r\n`
    }\r\n${payload}`;
    const deadline = Date.now() + timeoutMs;
    for (;;) {
      const conn = await this.take(deadline, signal);
      if (!fit()) {
        this.release(conn);
        throw new NotAttemptedError('no longer fit to be sent');
      }
      const fresh = conn.socket.bytesRead === 0;
      const used = conn.socket.bytesRead;
      try {
        return await this.exchange(conn, text, Math.max(1, deadline - Date.now()), signal);
      } catch (error) {
        // A kept connection that the server had closed meanwhile carried nothing; only safe calls are sent again.
        const stale = !fresh && conn.socket.bytesRead === used && method === 'GET';
        if (!stale || signal?.aborted || Date.now() >= deadline) throw error;
      }
    }
  }

  /** No request is under way or waits. */
  get resting(): boolean {
    return this.waiting.length === 0 && this.open === this.idle.length;
  }

  close(): void {
    this.closed = true;
    for (const c of this.idle) c.socket.destroy();
    this.idle = [];
    for (const w of this.waiting) w.reject(new NotAttemptedError('closed'));
    this.waiting = [];
  }

  private take(deadline: number, signal?: AbortSignal): Promise<Pooled> {
    for (;;) {
      const kept = this.idle.pop();
      if (!kept) break;
      if (!kept.socket.destroyed) return Promise.resolve(kept);
    }
    if (this.closed) return Promise.reject(new NotAttemptedError('closed'));
    if (this.open < this.options.connections) return this.connect(deadline, signal);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => {
          this.waiting = this.waiting.filter((w) => w !== waiter);
          reject(new NotAttemptedError('no free connection'));
        },
        Math.max(1, deadline - Date.now()),
      );
      const waiter: Waiter = {
        resolve: (c) => {
          clearTimeout(timer);
          resolve(c);
        },
        reject: (e) => {
          clearTimeout(timer);
          reject(e);
        },
      };
      this.waiting.push(waiter);
    });
  }

  private connect(deadline: number, signal?: AbortSignal): Promise<Pooled> {
    this.open++;
    return new Promise((resolve, reject) => {
      const socket = net.connect({ ...this.address, noDelay: true });
      const fail = (why: string) => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', aborted);
        socket.destroy();
        reject(new NotSentError(why));
      };
      const aborted = () => fail('aborted');
      const timer = setTimeout(() => fail('connect timed out'), Math.max(1, deadline - Date.now()));
      signal?.addEventListener('abort', aborted, { once: true });
      socket.once('error', (e) => fail(e.message));
      socket.once('close', () => {
        this.open--;
        this.idle = this.idle.filter((c) => c.socket !== socket);
        this.serveWaiting();
      });
      socket.once('connect', () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', aborted);
        socket.removeAllListeners('error');
        socket.on('error', () => socket.destroy());
        const parser = new Parser('response', {
          line: 8 * 1024,
          headers: 64,
          body: this.options.bodyLimit,
        });
        resolve({ socket, parser });
      });
    });
  }

  /**
   * A slot came free by a close: whoever waits may open a new connection. By
   * the time that it stands its waiter may have given up; a connection handed
   * to nobody would be lost to the pool for good.
   */
  private serveWaiting(): void {
    if (this.waiting.length === 0 || this.closed || this.open >= this.options.connections) return;
    this.connect(Date.now() + 1000).then(
      (conn) => this.release(conn),
      (error) => this.waiting.shift()?.reject(error),
    );
  }

  private exchange(
    conn: Pooled,
    text: string,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<HttpResponse> {
    const { socket, parser } = conn;
    return new Promise((resolve, reject) => {
      const done = () => {
        clearTimeout(timer);
        socket.off('data', onData);
        socket.off('close', onClose);
        signal?.removeEventListener('abort', onAbort);
      };
      const fail = (why: string) => failWith(new NoResponseError(why));
      const failWith = (error: NoResponseError) => {
        done();
        socket.destroy();
        reject(error);
      };
      const finish = (message: Message) => {
        done();
        if (message.keepAlive && !this.closed && !parser.busy) this.release(conn);
        else socket.destroy();
        let body: unknown;
        try {
          body = message.body.length === 0 ? {} : JSON.parse(message.body.toString());
        } catch {
          return reject(new NoResponseError('answer is not JSON'));
        }
        resolve({ status: message.status, body });
      };
      const onData = (data: Buffer) => {
        try {
          const message = parser.push(data)[0];
          if (message) finish(message);
        } catch (error) {
          const { message } = error as Error;
          failWith(
            error instanceof BodyTooLarge
              ? new ResponseTooLargeError(message)
              : new NoResponseError(message),
          );
        }
      };
      const onClose = () => {
        const message = parser.close();
        if (message) finish(message);
        else fail('connection closed');
      };
      const onAbort = () => fail('aborted');
      const timer = setTimeout(() => fail('timed out'), timeoutMs);
      signal?.addEventListener('abort', onAbort, { once: true });
      if (signal?.aborted) return fail('aborted');
      if (socket.destroyed) return fail('connection closed');
      socket.on('data', onData);
      socket.once('close', onClose);
      socket.write(text);
    });
  }

  private release(conn: Pooled): void {
    const waiter = this.waiting.shift();
    if (waiter) waiter.resolve(conn);
    else if (this.closed) conn.socket.destroy();
    else this.idle.push(conn);
  }
}
