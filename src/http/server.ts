/** HTTP/1.1 server for small JSON requests over a bounded number of persistent connections. */
import net from 'node:net';
import { type ConnectionLimits, ConnectionTable } from './connection-table.js';
import { type Handler, ServerConnection } from './server-connection.js';

export type { Reply } from './reply.js';
export type { Handler } from './server-connection.js';

/** Options of a server. */
export interface ServerOptions extends ConnectionLimits {
  host: string;
  /** Port to listen on; 0 selects a free one. */
  port: number;
  handler: Handler;
  /** Called with each error of the handler and of the listening socket. */
  onError: (error: unknown) => void;
}

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 511;

/** Number of checks for expired connections during the shortest timeout. */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Starts a server that runs until the signal is aborted. The abort closes all
 * connections immediately, including those with a request in flight. Resolves
 * when the server is listening; rejects when it cannot listen on the address.
 */
export function serve(options: ServerOptions, signal: AbortSignal): Promise<net.Server> {
  const table = new ConnectionTable(options);
  const { handler, onError } = options;
  // With allowHalfOpen, a client that ends its side after a request still receives the reply.
  const server = net.createServer({ noDelay: true, allowHalfOpen: true }, (socket) => {
    if (table.admit(socket)) void new ServerConnection(socket, { table, handler, onError }).run();
    else socket.destroy();
  });
  const timer = setInterval(
    () => table.closeExpired(),
    Math.min(options.requestTimeoutMs, options.idleTimeoutMs) / CHECKS_PER_TIMEOUT,
  );
  // A single listener for all connections: one for each would look like a listener leak on the signal.
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
