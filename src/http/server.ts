import net from 'node:net';
import { HttpError, type Message, Parser, REQUEST_LIMITS } from './parser.js';

export interface Reply {
  status: number;
  body: unknown;
  /** Seconds after which the caller may come back. */
  retryAfterS?: number;
}

export type Handler = (request: Message, signal: AbortSignal) => Promise<Reply> | Reply;

export interface ServerOptions {
  host: string;
  port: number;
  handler: Handler;
  /** Beyond this many connections the one idle for longest goes, so that sockets stay free for our own calls. */
  maxConnections: number;
  /** How long a request may take to arrive, and a reply to be taken. */
  requestMs: number;
  /** How long a connection may stay idle. */
  idleMs: number;
  /** One that was idle for less is not closed for a new one: the new one is refused. */
  spareMs: number;
  onError: (error: unknown) => void;
}

const REASONS: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  411: 'Length Required',
  413: 'Content Too Large',
  414: 'URI Too Long',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
  505: 'HTTP Version Not Supported',
};

function encodeReply(reply: Reply, keepAlive: boolean): string {
  const body = JSON.stringify(reply.body ?? {});
  let head = `HTTP/1.1 ${reply.status} ${REASONS[reply.status] ?? 'Status'}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
  if (reply.retryAfterS !== undefined) head += `Retry-After: ${Math.ceil(reply.retryAfterS)}\r\n`;
  if (!keepAlive) head += 'Connection: close\r\n';
  return `${head}\r\n${body}`;
}

/**
 * The connections that stand. Workers that went elsewhere in a takeover and
 * users that are done leave theirs behind; a full node that refused whoever
 * comes next would keep those and turn away its own machines.
 */
class Connections {
  /** Idle since, the longest first; null while a request is served. */
  private readonly since = new Map<net.Socket, number | null>();

  constructor(
    private readonly most: number,
    private readonly spareMs: number,
  ) {}

  admit(socket: net.Socket): boolean {
    const now = Date.now();
    if (this.since.size >= this.most) {
      let left: net.Socket | null = null;
      for (const [other, since] of this.since) {
        if (since === null) continue;
        if (now - since >= this.spareMs) left = other;
        break;
      }
      if (!left) return false;
      this.leave(left);
      left.destroy();
    }
    this.since.set(socket, now);
    return true;
  }

  busy(socket: net.Socket): void {
    if (this.since.has(socket)) this.since.set(socket, null);
  }

  rests(socket: net.Socket): void {
    if (!this.since.delete(socket)) return;
    this.since.set(socket, Date.now());
  }

  leave(socket: net.Socket): void {
    this.since.delete(socket);
  }
}

/** Serves until the signal ends it. Resolves once listening. */
export function serve(options: ServerOptions, signal: AbortSignal): Promise<net.Server> {
  const open = new Connections(options.maxConnections, options.spareMs);
  const server = net.createServer({ noDelay: true }, (socket) => {
    if (open.admit(socket)) void connection(socket, options, open, signal);
    else socket.destroy();
  });
  signal.addEventListener('abort', () => server.close(), { once: true });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, 511, () => {
      server.off('error', reject);
      server.on('error', options.onError);
      resolve(server);
    });
  });
}

/** The routine of one connection: one request at a time, in order. */
async function connection(
  socket: net.Socket,
  options: ServerOptions,
  open: Connections,
  signal: AbortSignal,
): Promise<void> {
  const parser = new Parser('request', REQUEST_LIMITS);
  const gone = new AbortController();
  const stop = () => socket.destroy();
  signal.addEventListener('abort', stop, { once: true });
  socket.on('error', () => socket.destroy());
  socket.once('close', () => {
    open.leave(socket);
    gone.abort();
  });
  // Armed by time since the last byte while idle, and by time since the request began while one arrives.
  let timer = setTimeout(stop, options.idleMs);
  const arm = (ms: number) => {
    clearTimeout(timer);
    timer = setTimeout(stop, ms);
  };
  try {
    let arriving = false;
    for await (const data of socket) {
      if (!arriving) arm(options.requestMs);
      let messages: Message[];
      try {
        messages = parser.push(data as Buffer);
      } catch (error) {
        const status = error instanceof HttpError ? error.status : 400;
        socket.end(encodeReply({ status, body: { error: (error as Error).message } }, false));
        arm(options.requestMs);
        return;
      }
      arriving = parser.busy;
      for (const request of messages) {
        clearTimeout(timer);
        open.busy(socket);
        let reply: Reply;
        try {
          reply = await options.handler(request, gone.signal);
        } catch (error) {
          options.onError(error);
          reply = { status: 500, body: { error: 'internal error' } };
        }
        if (socket.destroyed) return;
        const text = encodeReply(reply, request.keepAlive);
        if (!request.keepAlive) {
          socket.end(text);
          arm(options.requestMs);
          return;
        }
        socket.write(text);
        // A peer that never reads must not make us hold its replies.
        if (socket.writableLength > REQUEST_LIMITS.body * 2) return void socket.destroy();
        arm(options.idleMs);
        open.rests(socket);
      }
    }
  } catch {
    // The connection broke; nothing is owed to it.
    socket.destroy();
  } finally {
    clearTimeout(timer);
    signal.removeEventListener('abort', stop);
    if (!socket.writableEnded) socket.destroy();
    else setTimeout(stop, options.requestMs).unref();
  }
}
