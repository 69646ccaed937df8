import { EventEmitter } from 'node:events';
import net from 'node:net';
import { decode } from 'cbor-x/encode';
import { draw } from './draw.js';
import type { SimulatedTime } from './time.js';
import type { Trace } from './trace.js';

/** Port of connections between controllers. Connections to other ports carry HTTP. */
export const PEER_PORT = 7000;

export interface SimulatedRequest {
  from: string;
  method: string;
  target: string;
  body: unknown;
}

export interface SimulatedResponse {
  status: number;
  body: unknown;
}

type Respond = (status: number, body: unknown) => void;
export type RequestHandler = (request: SimulatedRequest, respond: Respond) => void;

/** One end of a connection. Implements the part of `net.Socket` that controllers use. */
class SimulatedSocket extends EventEmitter {
  destroyed = false;
  bytesRead = 0;
  readonly writableLength = 0;
  /** The other end; null until the connection is open. */
  remote: SimulatedSocket | null = null;
  /** Arrival time of the latest data that was sent. Later data arrives no earlier. */
  lastArrivalAt = 0;
  /** Name of the host without its process number. */
  readonly name: string;
  private paused = false;
  private readonly pausedData: Buffer[] = [];

  constructor(
    private readonly net: SimulatedNetwork,
    readonly host: string,
    readonly port: number,
  ) {
    super();
    this.name = hostName(host);
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
    queueMicrotask(() => this.emitOnHost('close'));
  }

  pause(): void {
    this.paused = true;
  }

  isPaused(): boolean {
    return this.paused;
  }

  resume(): void {
    this.paused = false;
    for (const data of this.pausedData.splice(0)) this.emitOnHost('data', data);
  }

  setTimeout(): void {}

  /** Receives data from the other end. Null closes the connection. */
  receive(data: Buffer | null): void {
    if (this.destroyed) return;
    if (data === null) {
      this.emitOnHost('end');
      this.destroy();
      return;
    }
    this.bytesRead += data.length;
    if (this.paused) this.pausedData.push(data);
    else this.emitOnHost('data', data);
  }

  /** Emits an event with this host as the current one. */
  emitOnHost(event: string, ...values: unknown[]): void {
    this.net.time.currentHost = this.host;
    this.emit(event, ...values);
  }
}

type Accept = (socket: net.Socket) => void;

/** A simulated network with partitions between hosts. Records all data that controllers send. */
export class SimulatedNetwork {
  /** Reports whether messages from one host to another are held back now. */
  isPartitioned: (from: string, to: string) => boolean = () => false;
  private readonly servers = new Map<
    string,
    { host: string; accept: (s: SimulatedSocket) => void }
  >();
  private readonly sockets = new Set<SimulatedSocket>();
  /** Data that arrived during a partition. */
  private heldData: { from: SimulatedSocket; to: SimulatedSocket; data: Buffer | null }[] = [];
  private readonly killedHosts = new Set<string>();

  constructor(
    readonly time: SimulatedTime,
    private readonly trace: Trace,
  ) {}

  /** Replaces the network functions of the process. Returns a function that restores them. */
  install(): () => void {
    const { connect, createServer } = net;
    Object.assign(net, {
      connect: ({ host, port }: { host: string; port: number }) =>
        this.connect(this.time.currentHost, host, port),
      createServer: (_options: unknown, accept: Accept) => this.createServer(accept),
    });
    return () => Object.assign(net, { connect, createServer });
  }

  /** Ends the process of a host: its connections close, and it sends and receives nothing more. */
  kill(host: string): void {
    this.killedHosts.add(host);
    for (const socket of [...this.sockets]) {
      if (socket.host !== host) continue;
      const { remote } = socket;
      if (remote) this.time.scheduleOn(remote.host, 1, () => remote.receive(null));
      this.sockets.delete(socket);
    }
    for (const [address, server] of this.servers)
      if (server.host === host) this.servers.delete(address);
  }

  /** Delivers held data again. Data between hosts that are still partitioned is held again. */
  heal(): void {
    const { heldData } = this;
    this.heldData = [];
    for (const { from, to, data } of heldData) this.deliver(from, to, data);
  }

  /** Registers an HTTP server. */
  serve(host: string, port: number, handle: RequestHandler): void {
    this.servers.set(`${host}:${port}`, {
      host,
      accept: (socket) =>
        socket.on('data', (data: Buffer) => {
          const [line, body] = parseMessage(data);
          const [method = '', target = ''] = line.split(' ');
          const from = socket.remote?.name ?? '';
          handle({ from, method, target, body }, (status, responseBody) =>
            socket.write(encodeMessage(`HTTP/1.1 ${status} Played`, responseBody)),
          );
        }),
    });
  }

  /** Sends a request on a new connection. Resolves with null on failure or timeout. */
  request(
    from: string,
    address: string,
    method: string,
    target: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<SimulatedResponse | null> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const socket = this.connect(from, host, Number(port));
      const finish = (response: SimulatedResponse | null) => {
        timer.callback = null;
        socket.destroy();
        resolve(response);
      };
      const timer = this.time.schedule(timeoutMs, () => finish(null));
      socket.on('error', () => finish(null));
      socket.on('close', () => finish(null));
      socket.on('connect', () => socket.write(encodeMessage(`${method} ${target} HTTP/1.1`, body)));
      socket.on('data', (data: Buffer) => {
        const [line, responseBody] = parseMessage(data);
        finish({ status: Number(line.split(' ')[1]), body: responseBody });
      });
    });
  }

  /** Sends data to the other end, or closes the connection when `data` is null. */
  send(from: SimulatedSocket, data: Buffer | null): void {
    const { remote } = from;
    if (!remote || this.killedHosts.has(from.host)) return;
    from.lastArrivalAt = Math.max(from.lastArrivalAt, this.arrivalTime(from, remote, data));
    if (data && from.name.startsWith('c-')) this.recordTrace(from, remote, data);
    this.deliver(from, remote, data);
  }

  private deliver(from: SimulatedSocket, to: SimulatedSocket, data: Buffer | null): void {
    this.time.scheduleOn(to.host, from.lastArrivalAt - this.time.now(), () => {
      if (this.killedHosts.has(to.host)) return;
      if (this.isPartitioned(from.name, to.name)) this.heldData.push({ from, to, data });
      else to.receive(data);
    });
  }

  /**
   * The delay depends on the content, so messages that are sent at the same time
   * arrive in the same order, whichever was sent first.
   */
  private arrivalTime(from: SimulatedSocket, to: SimulatedSocket, data: Buffer | null): number {
    const delay = data ? draw(from.host, to.host, data.toString('latin1')) : 0;
    return this.time.now() + 0.3 + delay;
  }

  private recordTrace(from: SimulatedSocket, to: SimulatedSocket, data: Buffer): void {
    const text = from.port === PEER_PORT ? peerText(data) : httpText(data);
    this.trace.record(from.name, to.name, from.lastArrivalAt, text);
  }

  private connect(from: string, host: string, port: number): SimulatedSocket {
    const clientEnd = new SimulatedSocket(this, from, port);
    this.sockets.add(clientEnd);
    if (this.killedHosts.has(from)) return clientEnd;
    this.time.scheduleOn(from, 0.2 + draw(from, host, port), () => {
      if (
        clientEnd.destroyed ||
        this.killedHosts.has(from) ||
        this.isPartitioned(hostName(from), host)
      )
        return;
      const server = this.servers.get(`${host}:${port}`);
      if (!server) {
        clientEnd.emitOnHost('error', new Error(`connection to ${host} refused`));
        clientEnd.destroy();
        return;
      }
      const serverEnd = new SimulatedSocket(this, server.host, port);
      this.sockets.add(serverEnd);
      clientEnd.remote = serverEnd;
      serverEnd.remote = clientEnd;
      this.time.scheduleOn(server.host, 0, () => server.accept(serverEnd));
      clientEnd.emitOnHost('connect');
    });
    return clientEnd;
  }

  private createServer(accept: Accept) {
    const host = this.time.currentHost;
    const events = new EventEmitter();
    let address = '';
    return Object.assign(events, {
      maxConnections: 0,
      listen: (port: number, bindHost: string, _backlog?: unknown, onListening?: () => void) => {
        address = `${bindHost}:${port}`;
        this.servers.set(address, {
          host,
          accept: (socket) => accept(socket as unknown as net.Socket),
        });
        onListening?.();
      },
      close: () => this.servers.delete(address),
    });
  }
}

/** Returns the name of a host: its id without the process number of a controller. */
export function hostName(hostId: string): string {
  return hostId.split('#', 1)[0] as string;
}

/**
 * Encodes an HTTP message. The delay of a message depends on its bytes, so any
 * change of this text, such as the Host header, changes the recorded histories.
 */
function encodeMessage(line: string, body: unknown): string {
  const text = body === undefined ? '' : JSON.stringify(body);
  return `${line}\r\nHost: played\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`;
}

function parseMessage(data: Buffer): [line: string, body: unknown] {
  const text = data.toString();
  const end = text.indexOf('\r\n\r\n');
  const body = text.slice(end + 4);
  return [text.slice(0, text.indexOf('\r\n')), body === '' ? undefined : JSON.parse(body)];
}

/** Returns the first line without the version, the traced headers and the body. */
function httpText(data: Buffer): string {
  const text = data.toString();
  const end = text.indexOf('\r\n\r\n');
  const [head, body] = [text.slice(0, end), text.slice(end + 4)];
  const [line = '', ...headers] = head.split('\r\n');
  const tracedHeaders = headers.filter((h) => /^(retry-after|connection)/i.test(h));
  const startLine = line.replace(/ ?HTTP\/1\.1 ?/, '').replace(/^(\d+) .*/, '$1');
  return [startLine, ...tracedHeaders, body].join(' ');
}

/** Replacer for JSON.stringify, which represents a buffer as an object of type "Buffer". */
function bufferToText(_name: string, value: unknown): unknown {
  const { type, data } = (value ?? {}) as { type?: string; data?: number[] };
  return type === 'Buffer' && data ? Buffer.from(data).toString() : value;
}

/** Returns the frames as JSON, with the bytes of forwarded messages as text. */
function peerText(data: Buffer): string {
  const texts: string[] = [];
  for (let offset = 0; offset + 4 <= data.length; ) {
    const length = data.readUInt32BE(offset);
    const frame = decode(data.subarray(offset + 4, offset + 4 + length));
    texts.push(JSON.stringify(frame, bufferToText));
    offset += 4 + length;
  }
  return texts.join(' ');
}
