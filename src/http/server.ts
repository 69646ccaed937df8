import net from 'node:net';
import { HttpError, type Message, Parser, REQUEST_LIMITS } from './parser.js';

export interface Reply {
  status: number;
  body: unknown;
  /** Seconds after which the caller may come back. */
  retryAfterS?: number;
}

export type Handler = (request: Message) => Promise<Reply> | Reply;

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

interface Held {
  /** Idle since; null while a request is served. */
  since: number | null;
  /** When it is given up, unless something arrives or is taken before. */
  until: number;
}

/**
 * The connections that stand. Workers that went elsewhere in a takeover and
 * users that are done leave theirs behind; a full node that refused whoever
 * comes next would keep those and turn away its own machines. One look over
 * all of them now and then serves for time-outs: a timer for each request
 * cost more than reading it.
 */
class Connections {
  /** Those that are idle stand in the order since when they are. */
  private readonly held = new Map<net.Socket, Held>();

  constructor(private readonly options: ServerOptions) {}

  admit(socket: net.Socket): boolean {
    const now = Date.now();
    if (this.held.size >= this.options.maxConnections) {
      let left: net.Socket | null = null;
      for (const [other, { since }] of this.held) {
        if (since === null) continue;
        if (now - since >= this.options.spareMs) left = other;
        break;
      }
      if (!left) return false;
      this.leave(left);
      left.destroy();
    }
    this.held.set(socket, { since: now, until: now + this.options.idleMs });
    return true;
  }

  /** A request arrives, or its reply leaves: either may take so long. */
  moves(socket: net.Socket): void {
    const held = this.held.get(socket);
    if (held) held.until = Date.now() + this.options.requestMs;
  }

  /** A request is served, which ends in its own time. */
  busy(socket: net.Socket): void {
    const held = this.held.get(socket);
    if (!held) return;
    held.since = null;
    held.until = Number.POSITIVE_INFINITY;
  }

  rests(socket: net.Socket): void {
    const held = this.held.get(socket);
    if (!held) return;
    const now = Date.now();
    held.since = now;
    held.until = now + this.options.idleMs;
    this.held.delete(socket);
    this.held.set(socket, held);
  }

  leave(socket: net.Socket): void {
    this.held.delete(socket);
  }

  /**
   * More peers are heard than connections may be kept for. Those that come
   * beyond that are served on connections that end with their reply: closing
   * kept ones for them instead would in the end have every peer connect anew.
   */
  get isCrowded(): boolean {
    const { maxConnections } = this.options;
    const passing = Math.floor(maxConnections * PASSING_SHARE);
    if (this.held.size <= maxConnections - passing) return false;
    const now = Date.now();
    for (const { since } of this.held.values())
      if (since !== null) return now - since < this.options.spareMs;
    return true;
  }

  /** Gives up those whose time is over. */
  sweep(): void {
    const now = Date.now();
    for (const [socket, { until }] of this.held) if (until <= now) socket.destroy();
  }
}

/** This part of the connections is left to those that are not kept, while all others are in use. */
const PASSING_SHARE = 0.15;

/** Looks at time-outs in the shortest of them. */
const SWEEPS = 4;

/**
 * What arrives on a socket, a piece at a time. The stream's own iterator does
 * the same and cost more than all the rest of a report's way.
 */
class Arrivals {
  private readonly pieces: Buffer[] = [];
  private wake: ((piece: Buffer | null) => void) | null = null;
  private over = false;

  constructor(private readonly socket: net.Socket) {
    socket.on('data', (piece) => {
      if (this.wake) this.give(piece);
      else {
        // Nobody reads before the reply has left, so no more is taken from the network either.
        this.pieces.push(piece);
        socket.pause();
      }
    });
    const end = () => {
      this.over = true;
      this.give(null);
    };
    socket.once('end', end);
    socket.once('close', end);
  }

  /** Null once nothing more comes. */
  next(): Promise<Buffer | null> {
    const piece = this.pieces.shift();
    if (piece) return Promise.resolve(piece);
    if (this.over) return Promise.resolve(null);
    if (this.socket.isPaused()) this.socket.resume();
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private give(piece: Buffer | null): void {
    const wake = this.wake;
    this.wake = null;
    wake?.(piece);
  }
}

/** Serves until the signal ends it. Resolves once listening. */
export function serve(options: ServerOptions, signal: AbortSignal): Promise<net.Server> {
  const open = new Connections(options);
  // Who has sent a request and ends its side still gets the reply.
  const server = net.createServer({ noDelay: true, allowHalfOpen: true }, (socket) => {
    if (open.admit(socket)) void connection(socket, options, open, signal);
    else socket.destroy();
  });
  const sweeping = setInterval(
    () => open.sweep(),
    Math.min(options.requestMs, options.idleMs) / SWEEPS,
  );
  const stop = () => {
    clearInterval(sweeping);
    server.close();
  };
  signal.addEventListener('abort', stop, { once: true });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, 511, () => {
      server.off('error', reject);
      server.on('error', options.onError);
      resolve(server);
    });
  });
}

/** The requests that the bytes complete, or the reply to bytes that are no request. */
function parse(parser: Parser, data: Buffer): Message[] | Reply {
  try {
    return parser.push(data);
  } catch (error) {
    const status = error instanceof HttpError ? error.status : 400;
    return { status, body: { error: (error as Error).message } };
  }
}

/** Sends a reply; false: the connection ends with it. */
function send(
  socket: net.Socket,
  open: Connections,
  reply: Reply,
  keepAlive: boolean,
  isNew: boolean,
): boolean {
  if (!keepAlive || (isNew && open.isCrowded)) {
    sendLast(socket, open, reply);
    return false;
  }
  socket.write(encodeReply(reply, true));
  // A peer that never reads must not make us hold its replies.
  if (socket.writableLength > REQUEST_LIMITS.body * 2) {
    socket.destroy();
    return false;
  }
  open.rests(socket);
  return true;
}

function sendLast(socket: net.Socket, open: Connections, reply: Reply): void {
  socket.end(encodeReply(reply, false));
  open.moves(socket);
}

/** The routine of one connection: one request at a time, in order. */
async function connection(
  socket: net.Socket,
  options: ServerOptions,
  open: Connections,
  signal: AbortSignal,
): Promise<void> {
  const parser = new Parser('request', REQUEST_LIMITS);
  const arrivals = new Arrivals(socket);
  const stop = () => socket.destroy();
  signal.addEventListener('abort', stop, { once: true });
  // The connection broke; nothing is owed to it.
  socket.on('error', stop);
  socket.once('close', () => {
    open.leave(socket);
    signal.removeEventListener('abort', stop);
  });
  let arriving = false;
  let isNew = true;
  for (let data = await arrivals.next(); data; data = await arrivals.next()) {
    if (!arriving) open.moves(socket);
    const messages = parse(parser, data);
    if (!Array.isArray(messages)) return sendLast(socket, open, messages);
    arriving = parser.busy;
    for (const request of messages) {
      open.busy(socket);
      let reply: Reply;
      try {
        reply = await options.handler(request);
      } catch (error) {
        options.onError(error);
        reply = { status: 500, body: { error: 'internal error' } };
      }
      if (socket.destroyed || !send(socket, open, reply, request.keepAlive, isNew)) return;
      isNew = false;
    }
  }
  socket.end();
  open.moves(socket);
}
