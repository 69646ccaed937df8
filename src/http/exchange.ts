/** One request and its response on a connection. */
import type { ConnectionPool } from './connection-pool.js';
import { BodyTooLargeError, NoResponseError, ResponseTooLargeError } from './errors.js';
import type { Message } from './message.js';
import type { ClientConnection } from './open-connection.js';

/** The answer to a request. */
export interface HttpResponse {
  status: number;
  /** The JSON of the body; `{}` when it is empty. */
  body: unknown;
}

/** What an exchange needs. */
export interface ExchangeOptions {
  /** Takes the connection back as soon as the response is complete. */
  pool: ConnectionPool;
  connection: ClientConnection;
  /** The request as it is sent. */
  requestText: string;
  timeoutMs: number;
  signal: AbortSignal | undefined;
}

/**
 * Invariant: it settles once, by a response, a fault, the time-out, the close
 * of the connection or the signal, and then listens to nothing any more. After
 * any fault the connection is destroyed: a late response must not be taken for
 * the answer to the next request.
 */
export class Exchange {
  private timer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly options: ExchangeOptions,
    private readonly resolve: (response: HttpResponse) => void,
    private readonly reject: (error: NoResponseError) => void,
  ) {}

  /** Rejects with `NoResponseError`, or `ResponseTooLargeError`. */
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
      this.fail(new NoResponseError('connection closed'));
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
    else this.fail(new NoResponseError('connection closed'));
  };

  private readonly onAbort = () => this.fail(new NoResponseError('aborted'));

  private readonly onTimeout = () => this.fail(new NoResponseError('timed out'));

  private finish(message: Message): void {
    const { pool, connection } = this.options;
    this.stopListening();
    if (message.keepAlive && !connection.parser.hasPartialMessage) pool.release(connection);
    else connection.socket.destroy();
    try {
      this.resolve({ status: message.status, body: parseBody(message.body) });
    } catch (error) {
      this.reject(new NoResponseError('answer is not JSON', { cause: error }));
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
