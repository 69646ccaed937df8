import { EventEmitter } from 'node:events';
import net from 'node:net';
import { decode } from 'cbor-x/encode';
import { draw } from './draw.js';
import type { PlayedTime } from './time.js';
import type { Trace } from './trace.js';

/** Connections between controllers end at this port; all others carry HTTP. */
export const PEER_PORT = 7000;

export interface PlayedRequest {
  from: string;
  method: string;
  target: string;
  body: unknown;
}

export interface PlayedAnswer {
  status: number;
  body: unknown;
}

type Respond = (status: number, body: unknown) => void;
export type Service = (request: PlayedRequest, respond: Respond) => void;

/** One end of a connection. */
class PlayedSocket extends EventEmitter {
  destroyed = false;
  bytesRead = 0;
  readonly writableLength = 0;
  other: PlayedSocket | null = null;
  /** Nothing arrives before what was sent earlier. */
  lastArrival = 0;
  readonly name: string;
  private paused = false;
  private readonly kept: Buffer[] = [];

  constructor(
    private readonly net: PlayedNet,
    readonly host: string,
    readonly port: number,
  ) {
    super();
    this.name = nameOf(host);
    this.setMaxListeners(0);
  }

  write(data: string | Buffer): boolean {
    if (!this.destroyed) this.net.send(this, Buffer.from(data));
    return true;
  }

  end(data?: string | Buffer): void {
    if (data !== undefined) this.write(data);
    this.net.send(this, null);
  }

  destroy(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.net.send(this, null);
    queueMicrotask(() => this.emitHere('close'));
  }

  pause(): void {
    this.paused = true;
  }

  isPaused(): boolean {
    return this.paused;
  }

  resume(): void {
    this.paused = false;
    for (const data of this.kept.splice(0)) this.emitHere('data', data);
  }

  setTimeout(): void {}

  /** What comes from the other end; null is its end. */
  receive(data: Buffer | null): void {
    if (this.destroyed) return;
    if (data === null) {
      this.emitHere('end');
      this.destroy();
      return;
    }
    this.bytesRead += data.length;
    if (this.paused) this.kept.push(data);
    else this.emitHere('data', data);
  }

  emitHere(event: string, ...values: unknown[]): void {
    this.net.time.host = this.host;
    this.emit(event, ...values);
  }
}

type Accept = (socket: net.Socket) => void;

/** A network in one process: hosts, cuts between them, and a trace of what controllers send. */
export class PlayedNet {
  /** Whether what one host sends to another is held back now. */
  isCut: (from: string, to: string) => boolean = () => false;
  private readonly servers = new Map<string, { host: string; accept: (s: PlayedSocket) => void }>();
  private readonly sockets = new Set<PlayedSocket>();
  private held: { from: PlayedSocket; to: PlayedSocket; data: Buffer | null }[] = [];
  private readonly dead = new Set<string>();

  constructor(
    readonly time: PlayedTime,
    private readonly trace: Trace,
  ) {}

  /** Puts this network in the place of the process's own; returns what takes it back. */
  install(): () => void {
    const { connect, createServer } = net;
    Object.assign(net, {
      connect: ({ host, port }: { host: string; port: number }) =>
        this.connect(this.time.host, host, port),
      createServer: (_options: unknown, accept: Accept) => this.server(accept),
    });
    return () => Object.assign(net, { connect, createServer });
  }

  /** The host's process is gone: its connections break, and nothing more leaves it. */
  kill(host: string): void {
    this.dead.add(host);
    for (const socket of [...this.sockets]) {
      if (socket.host !== host) continue;
      const { other } = socket;
      if (other) this.time.laterOn(other.host, 1, () => other.receive(null));
      this.sockets.delete(socket);
    }
    for (const [address, server] of this.servers)
      if (server.host === host) this.servers.delete(address);
  }

  /** Delivers what was held back, as far as its way is open again. */
  heal(): void {
    const { held } = this;
    this.held = [];
    for (const { from, to, data } of held) this.arrive(from, to, data);
  }

  /** A host that answers HTTP requests. */
  serve(host: string, port: number, service: Service): void {
    this.servers.set(`${host}:${port}`, {
      host,
      accept: (socket) =>
        socket.on('data', (data: Buffer) => {
          const [line, body] = partsOf(data);
          const [method = '', target = ''] = line.split(' ');
          const from = socket.other?.name ?? '';
          service({ from, method, target, body }, (status, answer) =>
            socket.write(encode(`HTTP/1.1 ${status} Played`, answer)),
          );
        }),
    });
  }

  /** One request with a connection of its own; null when there is no answer in time. */
  request(
    from: string,
    address: string,
    method: string,
    target: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<PlayedAnswer | null> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const socket = this.connect(from, host, Number(port));
      const finish = (answer: PlayedAnswer | null) => {
        timer.run = null;
        socket.destroy();
        resolve(answer);
      };
      const timer = this.time.later(timeoutMs, () => finish(null));
      socket.on('error', () => finish(null));
      socket.on('close', () => finish(null));
      socket.on('connect', () => socket.write(encode(`${method} ${target} HTTP/1.1`, body)));
      socket.on('data', (data: Buffer) => {
        const [line, answer] = partsOf(data);
        finish({ status: Number(line.split(' ')[1]), body: answer });
      });
    });
  }

  send(from: PlayedSocket, data: Buffer | null): void {
    const { other } = from;
    if (!other || this.dead.has(from.host)) return;
    from.lastArrival = Math.max(from.lastArrival, this.arrivalOf(from, other, data));
    if (data && from.name.startsWith('c-')) this.note(from, other, data);
    this.arrive(from, other, data);
  }

  private arrive(from: PlayedSocket, to: PlayedSocket, data: Buffer | null): void {
    this.time.laterOn(to.host, from.lastArrival - this.time.now(), () => {
      if (this.dead.has(to.host)) return;
      if (this.isCut(from.name, to.name)) this.held.push({ from, to, data });
      else to.receive(data);
    });
  }

  /** By what is sent: two messages of one moment come in the same order, whoever was first. */
  private arrivalOf(from: PlayedSocket, to: PlayedSocket, data: Buffer | null): number {
    const delay = data ? draw(from.host, to.host, data.toString('latin1')) : 0;
    return this.time.now() + 0.3 + delay;
  }

  private note(from: PlayedSocket, to: PlayedSocket, data: Buffer): void {
    const text = from.port === PEER_PORT ? peerText(data) : httpText(data);
    this.trace.record(from.name, to.name, from.lastArrival, text);
  }

  private connect(from: string, host: string, port: number): PlayedSocket {
    const near = new PlayedSocket(this, from, port);
    this.sockets.add(near);
    if (this.dead.has(from)) return near;
    this.time.laterOn(from, 0.2 + draw(from, host, port), () => {
      if (near.destroyed || this.dead.has(from) || this.isCut(nameOf(from), host)) return;
      const server = this.servers.get(`${host}:${port}`);
      if (!server) {
        near.emitHere('error', new Error(`${host} refuses`));
        near.destroy();
        return;
      }
      const far = new PlayedSocket(this, server.host, port);
      this.sockets.add(far);
      near.other = far;
      far.other = near;
      this.time.laterOn(server.host, 0, () => server.accept(far));
      near.emitHere('connect');
    });
    return near;
  }

  private server(accept: Accept) {
    const host = this.time.host;
    const events = new EventEmitter();
    let address = '';
    return Object.assign(events, {
      maxConnections: 0,
      listen: (port: number, name: string, _backlog?: unknown, ready?: () => void) => {
        address = `${name}:${port}`;
        this.servers.set(address, {
          host,
          accept: (socket) => accept(socket as unknown as net.Socket),
        });
        ready?.();
      },
      close: () => this.servers.delete(address),
    });
  }
}

/** A controller's name without which of its lives it is. */
export function nameOf(host: string): string {
  return host.split('#', 1)[0] as string;
}

function encode(line: string, body: unknown): string {
  const text = body === undefined ? '' : JSON.stringify(body);
  return `${line}\r\nHost: played\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

function partsOf(data: Buffer): [line: string, body: unknown] {
  const text = data.toString();
  const end = text.indexOf('\r\n\r\n');
  const body = text.slice(end + 4);
  return [text.slice(0, text.indexOf('\r\n')), body === '' ? undefined : JSON.parse(body)];
}

/** The first line without the version, the headers that matter and the body as it is. */
function httpText(data: Buffer): string {
  const text = data.toString();
  const end = text.indexOf('\r\n\r\n');
  const [head, body] = [text.slice(0, end), text.slice(end + 4)];
  const [line = '', ...headers] = head.split('\r\n');
  const kept = headers.filter((h) => /^(retry-after|connection)/i.test(h));
  const what = line.replace(/ ?HTTP\/1\.1 ?/, '').replace(/^(\d+) .*/, '$1');
  return [what, ...kept, body].join(' ');
}

/** For JSON.stringify, which sees a buffer as an object of this type. */
function bytesAsText(_name: string, value: unknown): unknown {
  const { type, data } = (value ?? {}) as { type?: string; data?: number[] };
  return type === 'Buffer' && data ? Buffer.from(data).toString() : value;
}

/** Frames as JSON; what they pass on stands in them as text. */
function peerText(data: Buffer): string {
  const texts: string[] = [];
  for (let at = 0; at + 4 <= data.length; ) {
    const size = data.readUInt32BE(at);
    const frame = decode(data.subarray(at + 4, at + 4 + size));
    texts.push(JSON.stringify(frame, bytesAsText));
    at += 4 + size;
  }
  return texts.join(' ');
}
