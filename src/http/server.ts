/** An HTTP/1.1 server for small JSON requests, on kept connections of a bounded number. */
import net from 'node:net';
import { type ConnectionLimits, ConnectionTable } from './connection-table.js';
import { type Handler, ServerConnection } from './server-connection.js';

export type { Reply } from './reply.js';
export type { Handler } from './server-connection.js';

/** Where and how a server listens. */
export interface ServerOptions extends ConnectionLimits {
  host: string;
  /** 0: any free port. */
  port: number;
  handler: Handler;
  /** Takes what a handler has thrown, and faults of the listening socket. */
  onError: (error: unknown) => void;
}

/** Connections that wait to be accepted. */
const LISTEN_BACKLOG = 511;

/** How often time-outs are looked at during the shortest of them. */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Serves until the signal ends it, which closes all connections at once.
 * Resolves once listening; rejects when the address can't be listened on.
 */
export function serve(options: ServerOptions, signal: AbortSignal): Promise<net.Server> {
  const table = new ConnectionTable(options);
  const { handler, onError } = options;
  // Who has sent a request and ends its side still gets the reply.
  const server = net.createServer({ noDelay: true, allowHalfOpen: true }, (socket) => {
    if (table.admit(socket)) void new ServerConnection(socket, { table, handler, onError }).run();
    else socket.destroy();
  });
  const timer = setInterval(
    () => table.closeExpired(),
    Math.min(options.requestMs, options.idleMs) / CHECKS_PER_TIMEOUT,
  );
  // One listener for the server, not one for each connection: hundreds of them on one signal look like a leak.
  const stop = () => {
    clearInterval(timer);
    server.close();
    table.closeAll();
  };
  signal.addEventListener('abort', stop, { once: true });
  return listen(server, options);
}

function listen(server: net.Server, options: ServerOptions): Promise<net.Server> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, LISTEN_BACKLOG, () => {
      server.off('error', reject);
      server.on('error', options.onError);
      resolve(server);
    });
  });
}
