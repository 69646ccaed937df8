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
  /** More connections than this are closed at once, so that sockets stay free for our own calls. */
  maxConnections: number;
  /** How long a request may take to arrive, and a reply to be taken. */
  requestMs: number;
  /** How long a connection may stay idle. */
  idleMs: number;
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

/** Serves until the signal ends it. Resolves once listening. */
export function serve(options: ServerOptions, signal: AbortSignal): Promise<net.Server> {
  const server = net.createServer({ noDelay: true }, (socket) => {
    void connection(socket, options, signal);
  });
  server.maxConnections = options.maxConnections;
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
  signal: AbortSignal,
): Promise<void> {
  const parser = new Parser('request', REQUEST_LIMITS);
  const gone = new AbortController();
  const stop = () => socket.destroy();
  signal.addEventListener('abort', stop, { once: true });
  socket.on('error', () => socket.destroy());
  socket.once('close', () => gone.abort());
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
