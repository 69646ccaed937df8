/**
 * The server's open connections: admission, eviction and timeouts. The number
 * of sockets of the process is limited, and its own requests to the state
 * service, the cloud and the agents need some of them.
 */
import type net from 'node:net';

/** Limits and timeouts of the server's connections. */
export interface ConnectionLimits {
  /**
   * Maximum number of open connections, which leaves sockets for the outgoing
   * requests of this process. At the limit, the connection idle longest is
   * closed to admit a new one.
   */
  maxConnections: number;
  /** Timeout for receiving a request, and for sending the last reply of a connection. */
  requestTimeoutMs: number;
  /** Timeout of an idle connection. */
  idleTimeoutMs: number;
  /**
   * Minimum idle time after which a connection may be closed to admit a new
   * one. When no connection qualifies, the new one is refused.
   */
  minEvictableIdleMs: number;
}

interface OpenConnection {
  socket: net.Socket;
  /**
   * Start of the idle time, in `Date.now` time. Null from `markBusy` until `markIdle`,
   * so also while the last reply is sent.
   */
  idleSince: number | null;
  /** Deadline of the current timeout, in `Date.now` time; infinite while a request is served. */
  deadline: number;
}

/**
 * Share of `maxConnections` reserved, while all others are in use, for
 * connections that are closed after their first reply.
 */
const TRANSIENT_SHARE = 0.15;

/**
 * Tracks the open connections. Agents that moved to another controller in a
 * failover and users that have finished leave idle connections behind. A full
 * server that only refused new connections would keep these and refuse its own
 * machines, so it closes the connection idle longest instead.
 *
 * Timeouts are deadlines that `closeExpired` checks periodically: a timer for
 * each request would cost more than reading the request.
 */
export class ConnectionTable {
  /** Invariant: idle connections are ordered by `idleSince`, the one idle longest first. */
  private readonly connections = new Map<net.Socket, OpenConnection>();

  constructor(private readonly limits: ConnectionLimits) {}

  /**
   * Adds a new connection as idle. Returns false when the table is full and no
   * connection may be closed for it; the caller must then close the socket.
   */
  admit(socket: net.Socket): boolean {
    const now = Date.now();
    const isFull = this.connections.size >= this.limits.maxConnections;
    if (isFull && !this.evictLongestIdle(now)) return false;
    this.connections.set(socket, {
      socket,
      idleSince: now,
      deadline: now + this.limits.idleTimeoutMs,
    });
    return true;
  }

  /** Starts the timeout `requestTimeoutMs` for receiving a request or for sending the last reply. */
  markTransferring(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection) connection.deadline = Date.now() + this.limits.requestTimeoutMs;
  }

  /** Marks a connection whose request is being served; no timeout applies meanwhile. */
  markBusy(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.idleSince = null;
    connection.deadline = Number.POSITIVE_INFINITY;
  }

  /** Marks a connection as idle after a reply, waiting for the next request. */
  markIdle(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    const now = Date.now();
    connection.idleSince = now;
    connection.deadline = now + this.limits.idleTimeoutMs;
    // Moves the connection to the end, which keeps the order by `idleSince`.
    this.connections.delete(socket);
    this.connections.set(socket, connection);
  }

  /** Removes a connection whose socket has closed. */
  remove(socket: net.Socket): void {
    this.connections.delete(socket);
  }

  /**
   * Reports whether more clients are active than connections can be kept open.
   * New connections are then closed after their first reply. Closing persistent
   * connections for them instead would eventually make every client reconnect
   * for each request.
   */
  get isSaturated(): boolean {
    const { maxConnections } = this.limits;
    const reservedConnections = Math.floor(maxConnections * TRANSIENT_SHARE);
    if (this.connections.size <= maxConnections - reservedConnections) return false;
    const candidate = this.longestIdle();
    return candidate === null || !this.mayEvict(candidate, Date.now());
  }

  /** Closes the connections whose timeout has expired. */
  closeExpired(): void {
    const now = Date.now();
    for (const { socket, deadline } of this.connections.values())
      if (deadline <= now) socket.destroy();
  }

  /** Closes all connections, including those with a request in flight. */
  closeAll(): void {
    for (const { socket } of this.connections.values()) socket.destroy();
  }

  /** Returns false when every connection is in use or was in use too recently to be closed. */
  private evictLongestIdle(now: number): boolean {
    const candidate = this.longestIdle();
    if (candidate === null || !this.mayEvict(candidate, now)) return false;
    this.connections.delete(candidate.socket);
    candidate.socket.destroy();
    return true;
  }

  /** Returns null when a request is being served on every connection. */
  private longestIdle(): OpenConnection | null {
    for (const connection of this.connections.values())
      if (connection.idleSince !== null) return connection;
    return null;
  }

  private mayEvict({ idleSince }: OpenConnection, now: number): boolean {
    return idleSince !== null && now - idleSince >= this.limits.minEvictableIdleMs;
  }
}
