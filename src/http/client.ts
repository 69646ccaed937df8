/** HTTP/1.1 client for JSON requests to one address. */
import { ConnectionPool, type PoolOptions } from './connection-pool.js';
import { NotAttemptedError } from './errors.js';
import { Exchange, type HttpResponse } from './exchange.js';
import type { Address } from './open-connection.js';

export type { HttpResponse } from './exchange.js';
export type { Address } from './open-connection.js';

/** One request. */
export interface RequestOptions {
  method: 'GET' | 'POST' | 'DELETE';
  /** Request target: path and query. */
  target: string;
  /** Sent as JSON. When undefined, the request has no body. */
  body?: unknown;
  /** Timeout of the whole request: waiting for a connection, connecting, and receiving the response. */
  timeoutMs: number;
  /**
   * Aborts connecting (`NotSentError`) and the exchange (`NoResponseError`), but
   * not the wait for a free connection.
   */
  signal?: AbortSignal | undefined;
  /**
   * Called immediately before the request is sent; when it returns false, the
   * request is not sent. The right to send it may have ended while the request
   * waited for a connection or the process was suspended.
   */
  isStillValid?: (() => boolean) | undefined;
}

/**
 * Sends requests over a bounded number of persistent connections. A connection
 * carries one request at a time and is closed after any error.
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
   * Resolves to the response, whatever its status. Rejects with
   * `NotAttemptedError` or `NotSentError` when the request was not carried out,
   * and with `NoResponseError` when the outcome is unknown.
   */
  async request(options: RequestOptions): Promise<HttpResponse> {
    const { pool } = this;
    const { signal, isStillValid } = options;
    const requestText = this.encodeRequest(options);
    const deadline = Date.now() + options.timeoutMs;
    for (;;) {
      const connection = await pool.acquire(deadline, signal);
      if (isStillValid && !isStillValid()) {
        pool.release(connection);
        throw new NotAttemptedError('request is no longer valid and was not sent');
      }
      const { socket } = connection;
      const bytesReadBefore = socket.bytesRead;
      const timeoutMs = Math.max(1, deadline - Date.now());
      try {
        return await Exchange.run({ pool, connection, requestText, timeoutMs, signal });
      } catch (error) {
        // The server may close a reused connection before the request arrives. Without any response bytes,
        // a GET is retried, since it changes nothing; another request may have been carried out.
        const wasReused = bytesReadBefore > 0;
        const mayRetry =
          wasReused && socket.bytesRead === bytesReadBefore && options.method === 'GET';
        if (!mayRetry || signal?.aborted || Date.now() >= deadline) throw error;
      }
    }
  }

  /** Reports whether no request is in flight or waiting for a connection. */
  get isIdle(): boolean {
    return this.pool.isIdle;
  }

  /**
   * Closes idle connections and rejects waiting requests with
   * `NotAttemptedError`. Requests in flight continue.
   */
  close(): void {
    this.pool.close();
  }

  private encodeRequest({ method, target, body }: RequestOptions): string {
    const head = `${method} ${target} HTTP/1.1\r\nHost: ${this.address.host}:${this.address.port}\r\n`;
    if (body === undefined) return `${head}\r\n`;
    const payload = JSON.stringify(body);
    return `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(payload)}\r\n\r\n${payload}`;
  }
}
