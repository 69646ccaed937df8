/** Kept connections to one address: acquiring, waiting for a free one, releasing, closing. */
import type net from 'node:net';
import { NotAttemptedError } from './errors.js';
import { type Address, type ClientConnection, openConnection } from './open-connection.js';

/** Bounds of a pool. */
export interface PoolOptions {
  /** Most connections at a time. */
  connections: number;
  /** Longest body of a response, in bytes. */
  maxBodyBytes: number;
}

interface Waiter {
  resolve: (connection: ClientConnection) => void;
  reject: (error: Error) => void;
}

/** Connect time-out of a connection that is opened for whoever waits. */
const REPLACEMENT_TIMEOUT_MS = 1000;

/** How long until the deadline; a timer of 0 or less would end before anything could happen. */
function msUntil(deadline: number): number {
  return Math.max(1, deadline - Date.now());
}

/**
 * Invariant: `openCount` counts every socket from the attempt to connect to its
 * close. A connection is either idle here or out with one request; whoever
 * acquires it releases it or destroys its socket.
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

  /** No connection is in use and nobody waits for one. */
  get isIdle(): boolean {
    return this.waiters.length === 0 && this.openCount === this.idle.length;
  }

  /**
   * A connection, until the deadline (by `Date.now`). Rejects with
   * `NotSentError` when it can't be opened and with `NotAttemptedError` when
   * none becomes free in time or the pool is closed. The signal ends an attempt
   * to connect, not the wait for a free connection.
   */
  acquire(deadline: number, signal?: AbortSignal): Promise<ClientConnection> {
    const idleConnection = this.popIdle();
    if (idleConnection) return Promise.resolve(idleConnection);
    if (this.closed) return Promise.reject(new NotAttemptedError('closed'));
    if (this.openCount < this.options.connections) return this.connect(deadline, signal);
    return this.waitForConnection(deadline);
  }

  /** Takes back a connection on which the next request may be sent. */
  release(connection: ClientConnection): void {
    const waiter = this.waiters.shift();
    if (waiter) waiter.resolve(connection);
    else if (this.closed) connection.socket.destroy();
    else this.idle.push(connection);
  }

  /** Closes what is idle and ends every wait; connections in use close when they are released. */
  close(): void {
    this.closed = true;
    for (const { socket } of this.idle) socket.destroy();
    this.idle = [];
    for (const waiter of this.waiters) waiter.reject(new NotAttemptedError('closed'));
    this.waiters = [];
  }

  /** The connection used last, since the server is the least likely to have closed it. */
  private popIdle(): ClientConnection | null {
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop())
      if (!connection.socket.destroyed) return connection;
    return null;
  }

  private waitForConnection(deadline: number): Promise<ClientConnection> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        reject(new NotAttemptedError('no free connection'));
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

  /** A socket has closed, for whatever reason. */
  private handleClose(socket: net.Socket): void {
    this.openCount--;
    this.idle = this.idle.filter((connection) => connection.socket !== socket);
    this.connectForWaiter();
  }

  /**
   * A slot came free by a close: whoever waits may open a new connection. By
   * the time that it is open its waiter may have given up; a connection handed
   * to nobody would be lost to the pool for good.
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
