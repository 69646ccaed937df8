/**
 * The server's open connections: admission, idle time, time-outs and their
 * end. The process's sockets are limited, and its own calls to the state
 * service, the cloud and the agents need some of them.
 */
import type net from 'node:net';

/** Bounds on connections and their time-outs. */
export interface ConnectionLimits {
  /**
   * Beyond this many connections the one idle for longest is closed for a new
   * one, so that sockets stay free for our own calls.
   */
  maxConnections: number;
  /** How long a request may take to arrive, and a reply to be taken. */
  requestMs: number;
  /** How long a connection may stay idle. */
  idleMs: number;
  /** A connection that was idle for less is not closed for a new one: the new one is refused. */
  spareMs: number;
}

interface OpenConnection {
  socket: net.Socket;
  /** Null while a request is served. */
  idleSince: number | null;
  /** When it is closed, unless something arrives or is taken before. */
  closeAt: number;
}

/**
 * This part of the connections is left to those that end with their first
 * reply, while all others are in use.
 */
const TRANSIENT_SHARE = 0.15;

/**
 * The open connections. Agents that moved to another controller in a failover
 * and users that are done leave theirs behind; a full server that refused
 * whoever comes next would keep those and turn away its own machines.
 *
 * Time-outs are deadlines that `closeExpired` looks at now and then: a timer
 * for each request cost more than reading it.
 */
export class ConnectionTable {
  /** Invariant: idle connections are in the order of the times since when they are idle. */
  private readonly connections = new Map<net.Socket, OpenConnection>();

  constructor(private readonly limits: ConnectionLimits) {}

  /** Takes in a new connection, as idle; false: it has to be refused. */
  admit(socket: net.Socket): boolean {
    const now = Date.now();
    const isFull = this.connections.size >= this.limits.maxConnections;
    if (isFull && !this.evictLongestIdle(now)) return false;
    this.connections.set(socket, { socket, idleSince: now, closeAt: now + this.limits.idleMs });
    return true;
  }

  /** A request begins to arrive, or the last reply leaves: either may take `requestMs`. */
  markTransferring(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection) connection.closeAt = Date.now() + this.limits.requestMs;
  }

  /** A request is served, which ends in its own time. */
  markBusy(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    connection.idleSince = null;
    connection.closeAt = Number.POSITIVE_INFINITY;
  }

  /** A reply has been sent, and the connection is kept for the next request. */
  markIdle(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    const now = Date.now();
    connection.idleSince = now;
    connection.closeAt = now + this.limits.idleMs;
    // To the end, which keeps the order.
    this.connections.delete(socket);
    this.connections.set(socket, connection);
  }

  /** The connection has closed. */
  remove(socket: net.Socket): void {
    this.connections.delete(socket);
  }

  /**
   * More clients send requests than connections may be kept for. Those that
   * come beyond that are served on connections that end with their reply:
   * closing kept ones for them instead would in the end have every client
   * connect anew for each request.
   */
  get isSaturated(): boolean {
    const { maxConnections } = this.limits;
    const reservedConnections = Math.floor(maxConnections * TRANSIENT_SHARE);
    if (this.connections.size <= maxConnections - reservedConnections) return false;
    const candidate = this.longestIdle();
    return candidate === null || !this.mayEvict(candidate, Date.now());
  }

  /** Closes the connections whose time is over. */
  closeExpired(): void {
    const now = Date.now();
    for (const { socket, closeAt } of this.connections.values())
      if (closeAt <= now) socket.destroy();
  }

  /** Closes all, whether or not a request is served. */
  closeAll(): void {
    for (const { socket } of this.connections.values()) socket.destroy();
  }

  /** False: every connection is in use or was so a short time ago. */
  private evictLongestIdle(now: number): boolean {
    const candidate = this.longestIdle();
    if (candidate === null || !this.mayEvict(candidate, now)) return false;
    this.connections.delete(candidate.socket);
    candidate.socket.destroy();
    return true;
  }

  /** Null: a request is served on each. */
  private longestIdle(): OpenConnection | null {
    for (const connection of this.connections.values())
      if (connection.idleSince !== null) return connection;
    return null;
  }

  private mayEvict({ idleSince }: OpenConnection, now: number): boolean {
    return idleSince !== null && now - idleSince >= this.limits.spareMs;
  }
}
