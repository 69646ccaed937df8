/** Pool of persistent client connections to one address. */
import type net from 'node:net';
import { NotAttemptedError } from './errors.js';
import { type Address, type ClientConnection, openConnection } from './open-connection.js';

/** Limits of a pool. */
export interface PoolOptions {
  /** Maximum number of connections that are open or being opened. */
  connections: number;
  /** Maximum length of a response body. */
  maxBodyBytes: number;
}

interface Waiter {
  resolve: (connection: ClientConnection) => void;
  reject: (error: Error) => void;
}

/** Connect timeout of a connection that replaces a closed one while requests wait. */
const REPLACEMENT_TIMEOUT_MS = 1000;

/**
 * Returns the time until the deadline, at least 1 ms: a timer of 0 ms could fire
 * before any I/O is processed.
 */
function msUntil(deadline: number): number {
  return Math.max(1, deadline - Date.now());
}

/**
 * Invariant: `openCount` counts every socket from the start of connecting until
 * its 'close' event. An established connection is either in `idle` or owned by
 * the caller that acquired it; that caller must release the connection or
 * destroy its socket.
 */
export class ConnectionPool {
  private idle: ClientConnection[] = [];
  private openCount = 0;
  private waiters: Waiter[] = [];
  private closed = false;

  constructor(
    private readonly address: Address,
    private readonly options: PoolOptions,
  ) {}

  /** Reports whether no connection is in use or being opened and no request waits for one. */
  get isIdle(): boolean {
    return this.waiters.length === 0 && this.openCount === this.idle.length;
  }

  /**
   * Resolves to an idle or new connection before the deadline (in `Date.now`
   * time). Rejects with `NotSentError` when connecting fails, and with
   * `NotAttemptedError` when no connection becomes free in time or the pool is
   * closed. The signal aborts connecting, but not the wait for a free
   * connection.
   */
  acquire(deadline: number, signal?: AbortSignal): Promise<ClientConnection> {
    const idleConnection = this.popIdle();
    if (idleConnection) return Promise.resolve(idleConnection);
    if (this.closed) return Promise.reject(new NotAttemptedError('connection pool is closed'));
    if (this.openCount < this.options.connections) return this.connect(deadline, signal);
    return this.waitForConnection(deadline);
  }

  /**
   * Returns a reusable connection to the pool, which passes it to the first
   * waiting request, closes it (when the pool is closed) or keeps it idle.
   */
  release(connection: ClientConnection): void {
    const waiter = this.waiters.shift();
    if (waiter) waiter.resolve(connection);
    else if (this.closed) connection.socket.destroy();
    else this.idle.push(connection);
  }

  /**
   * Closes idle connections and rejects waiting requests. Connections in use
   * are closed when they are released.
   */
  close(): void {
    this.closed = true;
    for (const { socket } of this.idle) socket.destroy();
    this.idle = [];
    for (const waiter of this.waiters)
      waiter.reject(new NotAttemptedError('connection pool was closed'));
    this.waiters = [];
  }

  /**
   * Removes and returns the most recently used idle connection, which the
   * server is least likely to have closed; null when there is none.
   */
  private popIdle(): ClientConnection | null {
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop())
      if (!connection.socket.destroyed) return connection;
    return null;
  }

  private waitForConnection(deadline: number): Promise<ClientConnection> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        reject(new NotAttemptedError('no connection became free in time'));
      }, msUntil(deadline));
      const waiter: Waiter = {
        resolve: (connection) => {
          clearTimeout(timer);
          resolve(connection);
        },
        reject: (error) => {
          clearTimeout(timer);
          reject(error);
        },
      };
      this.waiters.push(waiter);
    });
  }

  private connect(deadline: number, signal?: AbortSignal): Promise<ClientConnection> {
    this.openCount++;
    return openConnection({
      address: this.address,
      maxBodyBytes: this.options.maxBodyBytes,
      timeoutMs: msUntil(deadline),
      signal,
      onClose: (socket) => this.handleClose(socket),
    });
  }

  private handleClose(socket: net.Socket): void {
    this.openCount--;
    this.idle = this.idle.filter((connection) => connection.socket !== socket);
    this.connectForWaiter();
  }

  /**
   * Opens a new connection for a waiting request after another connection has
   * closed. That request may time out before the connection is established, so
   * the connection goes through `release`; a connection passed to nobody would
   * occupy a slot of the pool forever.
   */
  private connectForWaiter(): void {
    const isFull = this.openCount >= this.options.connections;
    if (this.waiters.length === 0 || this.closed || isFull) return;
    this.connect(Date.now() + REPLACEMENT_TIMEOUT_MS).then(
      (connection) => this.release(connection),
      (error) => this.waiters.shift()?.reject(error),
    );
  }
}
