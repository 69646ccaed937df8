/** Exchange of one request and its response on a connection. */
import type { ConnectionPool } from './connection-pool.js';
import { BodyTooLargeError, NoResponseError, ResponseTooLargeError } from './errors.js';
import type { Message } from './message.js';
import type { ClientConnection } from './open-connection.js';

/** The response to a request. */
export interface HttpResponse {
  status: number;
  /** The parsed JSON body; `{}` when the body is empty. */
  body: unknown;
}

/** Parameters of an exchange. */
export interface ExchangeOptions {
  /** Receives the connection back when the response is complete and the connection is reusable. */
  pool: ConnectionPool;
  connection: ClientConnection;
  /** The encoded request: head and body. */
  requestText: string;
  timeoutMs: number;
  signal: AbortSignal | undefined;
}

/**
 * Invariant: an exchange settles once, on a response, an error, the timeout,
 * the close of the connection or an abort, and then removes its listeners. On
 * any error it destroys the socket, so that a late response cannot be taken for
 * the response to the next request.
 */
export class Exchange {
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly options: ExchangeOptions,
    private readonly resolve: (response: HttpResponse) => void,
    private readonly reject: (error: NoResponseError) => void,
  ) {}

  /**
   * Runs an exchange, which owns the connection until it settles: the
   * connection is then back in the pool or its socket is destroyed. Rejects with
   * `NoResponseError`, or with its subclass `ResponseTooLargeError`.
   */
  static run(options: ExchangeOptions): Promise<HttpResponse> {
    return new Promise((resolve, reject) => new Exchange(options, resolve, reject).start());
  }

  private start(): void {
    const { connection, requestText, timeoutMs, signal } = this.options;
    const { socket } = connection;
    this.timer = setTimeout(this.onTimeout, timeoutMs);
    signal?.addEventListener('abort', this.onAbort, { once: true });
    if (signal?.aborted) {
      this.onAbort();
    } else if (socket.destroyed) {
      this.fail(new NoResponseError('connection closed before the request was sent'));
    } else {
      socket.on('data', this.onData);
      socket.once('close', this.onClose);
      socket.write(requestText);
    }
  }

  private readonly onData = (data: Buffer) => {
    try {
      const message = this.options.connection.parser.push(data)[0];
      if (message) this.finish(message);
    } catch (error) {
      this.fail(toResponseError(error as Error));
    }
  };

  private readonly onClose = () => {
    const message = this.options.connection.parser.close();
    if (message) this.finish(message);
    else this.fail(new NoResponseError('connection closed before the response was complete'));
  };

  private readonly onAbort = () => this.fail(new NoResponseError('request aborted'));

  private readonly onTimeout = () => this.fail(new NoResponseError('request timed out'));

  private finish(message: Message): void {
    const { pool, connection } = this.options;
    this.stopListening();
    if (message.keepAlive && !connection.parser.hasPartialMessage) pool.release(connection);
    else connection.socket.destroy();
    try {
      this.resolve({ status: message.status, body: parseBody(message.body) });
    } catch (error) {
      this.reject(new NoResponseError('response body is not JSON', { cause: error }));
    }
  }

  private fail(error: NoResponseError): void {
    this.stopListening();
    this.options.connection.socket.destroy();
    this.reject(error);
  }

  private stopListening(): void {
    const { connection, signal } = this.options;
    clearTimeout(this.timer);
    connection.socket.off('data', this.onData);
    connection.socket.off('close', this.onClose);
    signal?.removeEventListener('abort', this.onAbort);
  }
}

function parseBody(body: Buffer): unknown {
  return body.length === 0 ? {} : JSON.parse(body.toString());
}

function toResponseError(error: Error): NoResponseError {
  return error instanceof BodyTooLargeError
    ? new ResponseTooLargeError(error.message)
    : new NoResponseError(error.message);
}
