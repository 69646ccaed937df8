/** HTTP/1.1 messages and the parsing of their start lines and headers, one line at a time. */
import { HttpParseError } from './errors.js';

/** A request or response with its complete body. */
export interface Message {
  /** Method of a request; empty in a response. */
  method: string;
  /** Path and query of a request; empty in a response. */
  target: string;
  /** Status of a response; 0 in a request. */
  status: number;
  /** Header values by lower-case name; the values of a repeated header are joined by commas. */
  headers: Map<string, string>;
  body: Buffer;
  /** Whether the sender keeps the connection open after this message. */
  keepAlive: boolean;
}

/** Syntax of method and header names: a token as defined by the HTTP standard (RFC 9110). */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const STATUS_LINE = /^(HTTP\/\d\.\d) (\d{3})(?: |$)/;
const ANY_VERSION = /^HTTP\/\d+(\.\d+)?$/;

const NO_BODY = Buffer.alloc(0);

/** Returns a message before any of its lines is parsed. */
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

/** Parses `METHOD target HTTP/x.y` into the message. Throws `HttpParseError`. */
export function readRequestLine(line: string, message: Message): void {
  const parts = line.split(' ');
  const [method, target, version] = parts;
  if (parts.length !== 3 || !method || !target || !version || !TOKEN.test(method))
    throw new HttpParseError(400, 'bad request line');
  readVersion(version, message);
  message.method = method;
  message.target = target;
}

/** Parses `HTTP/x.y 200 reason` into the message. Throws `HttpParseError`. */
export function readStatusLine(line: string, message: Message): void {
  const match = STATUS_LINE.exec(line);
  if (!match?.[1]) throw new HttpParseError(400, 'bad status line');
  readVersion(match[1], message);
  message.status = Number(match[2]);
}

/** Sets the default of the version: connections persist from HTTP/1.1 on. */
function readVersion(version: string, message: Message): void {
  if (version === 'HTTP/1.1') message.keepAlive = true;
  else if (version === 'HTTP/1.0') message.keepAlive = false;
  else if (ANY_VERSION.test(version)) throw new HttpParseError(505, 'unsupported version');
  else throw new HttpParseError(400, 'bad version');
}

/** Parses `Name: value` into the message. Throws `HttpParseError`. */
export function readHeader(line: string, message: Message): void {
  const colon = line.indexOf(':');
  const name = line.slice(0, colon).toLowerCase();
  // Folded lines and whitespace before the colon are rejected, since parsers interpret them differently.
  if (colon <= 0 || !TOKEN.test(name)) throw new HttpParseError(400, 'bad header');
  const value = line.slice(colon + 1).trim();
  const earlier = message.headers.get(name);
  if (name !== 'content-length') {
    message.headers.set(name, earlier === undefined ? value : `${earlier}, ${value}`);
    return;
  }
  // With two lengths, parsers could disagree about where the next message begins (request smuggling).
  if (earlier !== undefined && earlier !== value) throw new HttpParseError(400, 'two lengths');
  message.headers.set(name, value);
}

/** Applies the `Connection` header, which overrides the version's default. */
export function readConnectionHeader(message: Message): void {
  const connection = message.headers.get('connection')?.toLowerCase() ?? '';
  if (connection.includes('close')) message.keepAlive = false;
  else if (connection.includes('keep-alive')) message.keepAlive = true;
}
