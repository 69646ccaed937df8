/** An HTTP/1.1 client for JSON requests to one address. */
import { ConnectionPool, type PoolOptions } from './connection-pool.js';
import { NotAttemptedError } from './errors.js';
import { Exchange, type HttpResponse } from './exchange.js';
import type { Address } from './open-connection.js';

export type { HttpResponse } from './exchange.js';
export type { Address } from './open-connection.js';

/** One request. */
export interface RequestOptions {
  method: 'GET' | 'POST' | 'DELETE';
  /** Path and query. */
  target: string;
  /** Sent as JSON; undefined: no body. */
  body?: unknown;
  /** For everything: the wait for a connection, opening one, and the response. */
  timeoutMs: number;
  signal?: AbortSignal | undefined;
  /**
   * Asked at the moment when the request would leave: what waited for its turn
   * or connection, or slept while the process was suspended, may rest on an
   * entitlement that has ended.
   */
  isStillValid?: (() => boolean) | undefined;
}

/**
 * Keeps a bounded number of connections. A connection is used by one request
 * at a time and dropped after any fault.
 */
export class HttpClient {
  private readonly pool: ConnectionPool;

  constructor(
    private readonly address: Address,
    options: PoolOptions,
  ) {
    this.pool = new ConnectionPool(address, options);
  }

  /**
   * The response, whatever its status. Rejects with `NotAttemptedError` or
   * `NotSentError` when the request was not carried out, and with
   * `NoResponseError` when it may have been.
   */
  async request(options: RequestOptions): Promise<HttpResponse> {
    const { pool } = this;
    const { signal, isStillValid } = options;
    const requestText = this.encode(options);
    const deadline = Date.now() + options.timeoutMs;
    for (;;) {
      const connection = await pool.acquire(deadline, signal);
      if (isStillValid && !isStillValid()) {
        pool.release(connection);
        throw new NotAttemptedError('no longer fit to be sent');
      }
      const { socket } = connection;
      const bytesReadBefore = socket.bytesRead;
      const timeoutMs = Math.max(1, deadline - Date.now());
      try {
        return await Exchange.run({
          pool,
          connection,
          requestText: requestText,
          timeoutMs,
          signal,
        });
      } catch (error) {
        // A kept connection that the server had closed meanwhile carried nothing; only safe calls are sent again.
        const wasReused = bytesReadBefore > 0;
        const isStale =
          wasReused && socket.bytesRead === bytesReadBefore && options.method === 'GET';
        if (!isStale || signal?.aborted || Date.now() >= deadline) throw error;
      }
    }
  }

  /** No request is under way or waits. */
  get isIdle(): boolean {
    return this.pool.isIdle;
  }

  /** Requests that wait are rejected with `NotAttemptedError`; those under way go on. */
  close(): void {
    this.pool.close();
  }

  private encode({ method, target, body }: RequestOptions): string {
    const head = `${method} ${target} HTTP/1.1\r\nHost: ${this.address.host}:${this.address.port}\r\n`;
    if (body === undefined) return `${head}\r\n`;
    const payload = JSON.stringify(body);
    return `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(payload)}\r\n\r\n${payload}`;
  }
}
