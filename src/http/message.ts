/** An HTTP/1.1 message and its head: the start line and the headers, one line at a time. */
import { HttpParseError } from './errors.js';

/** A request or a response with its whole body. */
export interface Message {
  /** Of a request; empty in a response. */
  method: string;
  /** Of a request, with its query; empty in a response. */
  target: string;
  /** Of a response; 0 in a request. */
  status: number;
  /** By lower-case name; the values of a repeated header are joined by commas. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the sender goes on using the connection. */
  keepAlive: boolean;
}

/** Names of methods and headers, as the HTTP standard defines a token. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const STATUS_LINE = /^(HTTP\/\d\.\d) (\d{3})(?: |$)/;
const ANY_VERSION = /^HTTP\/\d+(\.\d+)?$/;

const NO_BODY = Buffer.alloc(0);

/** A message of which nothing has been read. */
export function emptyMessage(): Message {
  return {
    method: '',
    target: '',
    status: 0,
    headers: new Map(),
    body: NO_BODY,
    keepAlive: true,
  };
}

/** Reads `METHOD target HTTP/x.y`. Throws `HttpParseError`. */
export function readRequestLine(line: string, message: Message): void {
  const parts = line.split(' ');
  const [method, target, version] = parts;
  if (parts.length !== 3 || !method || !target || !version || !TOKEN.test(method))
    throw new HttpParseError(400, 'bad request line');
  readVersion(version, message);
  message.method = method;
  message.target = target;
}

/** Reads `HTTP/x.y 200 reason`. Throws `HttpParseError`. */
export function readStatusLine(line: string, message: Message): void {
  const match = STATUS_LINE.exec(line);
  if (!match?.[1]) throw new HttpParseError(400, 'bad status line');
  readVersion(match[1], message);
  message.status = Number(match[2]);
}

/** Connections persist by default from HTTP/1.1 on. */
function readVersion(version: string, message: Message): void {
  if (version === 'HTTP/1.1') message.keepAlive = true;
  else if (version === 'HTTP/1.0') message.keepAlive = false;
  else if (ANY_VERSION.test(version)) throw new HttpParseError(505, 'unsupported version');
  else throw new HttpParseError(400, 'bad version');
}

/** Reads `Name: value`. Throws `HttpParseError`. */
export function readHeader(line: string, message: Message): void {
  const colon = line.indexOf(':');
  const name = line.slice(0, colon).toLowerCase();
  // Folded lines and blanks before the colon are refused: they let two readers disagree.
  if (colon <= 0 || !TOKEN.test(name)) throw new HttpParseError(400, 'bad header');
  const value = line.slice(colon + 1).trim();
  const earlier = message.headers.get(name);
  if (name !== 'content-length') {
    message.headers.set(name, earlier === undefined ? value : `${earlier}, ${value}`);
    return;
  }
  // Two lengths would let two readers disagree about where the next message begins.
  if (earlier !== undefined && earlier !== value) throw new HttpParseError(400, 'two lengths');
  message.headers.set(name, value);
}

/** Applies the `Connection` header, which overrides the version's default. */
export function readConnectionHeader(message: Message): void {
  const connection = message.headers.get('connection')?.toLowerCase() ?? '';
  if (connection.includes('close')) message.keepAlive = false;
  else if (connection.includes('keep-alive')) message.keepAlive = true;
}
