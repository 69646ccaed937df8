/**
 * Incremental HTTP/1.1 message parser for both directions. Bytes may be split
 * anywhere: state lives between pushes and nothing is decided on a boundary.
 */

export interface Message {
  /** Requests: method and target. Responses: status. */
  method: string;
  target: string;
  status: number;
  headers: Map<string, string>;
  body: Buffer;
  keepAlive: boolean;
}

export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The body is larger than this side takes. */
export class BodyTooLarge extends HttpError {
  constructor() {
    super(400, 'body too large');
  }
}

export interface ParserLimits {
  /** Longest start or header line, in bytes. */
  line: number;
  headers: number;
  body: number;
}

export const REQUEST_LIMITS: ParserLimits = { line: 8 * 1024, headers: 64, body: 64 * 1024 };

type Stage = 'start' | 'header' | 'body' | 'chunkSize' | 'chunkData' | 'chunkEnd' | 'trailer';

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const EMPTY = Buffer.alloc(0);

export class Parser {
  private stage: Stage = 'start';
  private pending: Buffer = EMPTY;
  private headerCount = 0;
  private need = 0;
  private chunks: Buffer[] = [];
  private bodySize = 0;
  private untilClose = false;
  private message: Message = blank();

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** True while a message has begun and is not complete. */
  get busy(): boolean {
    return this.stage !== 'start' || this.pending.length > 0;
  }

  /** Feeds bytes; returns every message that they complete. Throws HttpError on bad input. */
  push(data: Buffer): Message[] {
    const out: Message[] = [];
    let buf = this.pending.length > 0 ? Buffer.concat([this.pending, data]) : data;
    this.pending = EMPTY;
    for (;;) {
      const isData = this.stage === 'body' || this.stage === 'chunkData';
      const taken = isData ? this.takeData(buf, out) : this.takeLine(buf, out);
      if (taken === 0) return out;
      buf = buf.subarray(taken);
    }
  }

  /** Takes what belongs to the body off the front; returns how many bytes that are. */
  private takeData(buf: Buffer, out: Message[]): number {
    const size = this.untilClose ? buf.length : Math.min(this.need, buf.length);
    if (size > 0 && this.data(buf.subarray(0, size))) out.push(this.finish());
    return size;
  }

  /** Takes a line off the front; returns its bytes, or none while its end is missing. */
  private takeLine(buf: Buffer, out: Message[]): number {
    const end = buf.indexOf(10);
    if ((end < 0 ? buf.length : end) > this.limits.line) throw this.tooLong();
    if (end < 0) {
      // A copy: the bytes may sit in a large shared read buffer.
      this.pending = Buffer.from(buf);
      return 0;
    }
    const line = buf.toString('latin1', 0, end > 0 && buf[end - 1] === 13 ? end - 1 : end);
    if (this.line(line)) out.push(this.finish());
    return end + 1;
  }

  /** The peer closed: a response without a length ends here. */
  close(): Message | null {
    if (this.untilClose) return this.finish();
    return null;
  }

  private tooLong(): HttpError {
    return this.stage === 'start'
      ? new HttpError(414, 'start line too long')
      : new HttpError(431, 'header line too long');
  }

  /** Takes a part of the body; true when it completes the message. */
  private data(part: Buffer): boolean {
    this.keep(part);
    if (this.untilClose) return false;
    this.need -= part.length;
    if (this.need > 0) return false;
    if (this.stage === 'body') return true;
    this.stage = 'chunkEnd';
    return false;
  }

  /** Takes one line; true when it completes the message. */
  private line(line: string): boolean {
    switch (this.stage) {
      case 'start':
        // Blank lines before a message are tolerated, as the HTTP standard advises.
        if (line === '') return false;
        this.startLine(line);
        this.stage = 'header';
        return false;
      case 'header':
        if (line !== '') {
          this.header(line);
          return false;
        }
        return this.headersDone();
      case 'chunkSize':
        this.chunkSize(line);
        return false;
      case 'chunkEnd':
        if (line !== '') throw new HttpError(400, 'bad chunk end');
        this.stage = 'chunkSize';
        return false;
      default:
        if (line === '') return true;
        if (++this.headerCount > this.limits.headers)
          throw new HttpError(431, 'too many trailer lines');
        return false;
    }
  }

  private chunkSize(line: string): void {
    const hex = (line.split(';', 1)[0] ?? '').trim();
    if (!/^[0-9a-fA-F]{1,8}$/.test(hex)) throw new HttpError(400, 'bad chunk size');
    this.need = Number.parseInt(hex, 16);
    if (this.bodySize + this.need > this.limits.body) throw new BodyTooLarge();
    this.headerCount = 0;
    this.stage = this.need === 0 ? 'trailer' : 'chunkData';
  }

  private startLine(line: string): void {
    const m = this.message;
    if (this.kind === 'request') {
      const parts = line.split(' ');
      const [method, target, version] = parts;
      if (parts.length !== 3 || !method || !target || !version || !TOKEN.test(method))
        throw new HttpError(400, 'bad request line');
      this.version(version);
      m.method = method;
      m.target = target;
    } else {
      const match = /^(HTTP\/\d\.\d) (\d{3})(?: |$)/.exec(line);
      if (!match?.[1]) throw new HttpError(400, 'bad status line');
      this.version(match[1]);
      m.status = Number(match[2]);
    }
  }

  private version(text: string): void {
    if (text === 'HTTP/1.1') this.message.keepAlive = true;
    else if (text === 'HTTP/1.0') this.message.keepAlive = false;
    else if (/^HTTP\/\d+(\.\d+)?$/.test(text)) throw new HttpError(505, 'unsupported version');
    else throw new HttpError(400, 'bad version');
  }

  private header(line: string): void {
    if (++this.headerCount > this.limits.headers) throw new HttpError(431, 'too many headers');
    const colon = line.indexOf(':');
    const name = line.slice(0, colon).toLowerCase();
    // Folded lines and blanks before the colon are refused: they let two readers disagree.
    if (colon <= 0 || !TOKEN.test(name)) throw new HttpError(400, 'bad header');
    const value = line.slice(colon + 1).trim();
    const old = this.message.headers.get(name);
    if (old !== undefined && name === 'content-length' && old !== value)
      throw new HttpError(400, 'two lengths');
    this.message.headers.set(
      name,
      old !== undefined && name !== 'content-length' ? `${old}, ${value}` : value,
    );
  }

  private headersDone(): boolean {
    const m = this.message;
    this.connectionHeader();
    const coding = m.headers.get('transfer-encoding');
    const length = m.headers.get('content-length');
    if (coding !== undefined) {
      if (coding.toLowerCase() !== 'chunked' || length !== undefined)
        throw new HttpError(400, 'bad transfer coding');
      this.stage = 'chunkSize';
      return false;
    }
    if (length !== undefined) {
      this.need = this.contentLength(length);
      if (this.need === 0) return true;
      this.stage = 'body';
      return false;
    }
    if (this.kind === 'response' && m.status !== 204 && m.status !== 304) {
      this.untilClose = true;
      m.keepAlive = false;
      this.stage = 'body';
      return false;
    }
    if (m.method === 'POST' || m.method === 'PUT') throw new HttpError(411, 'length required');
    return true;
  }

  private connectionHeader(): void {
    const connection = this.message.headers.get('connection')?.toLowerCase() ?? '';
    if (connection.includes('close')) this.message.keepAlive = false;
    else if (connection.includes('keep-alive')) this.message.keepAlive = true;
  }

  private contentLength(text: string): number {
    if (!/^\d{1,15}$/.test(text)) throw new HttpError(400, 'bad content length');
    const length = Number(text);
    if (length > this.limits.body) throw new BodyTooLarge();
    return length;
  }

  private keep(part: Buffer): void {
    this.bodySize += part.length;
    if (this.bodySize > this.limits.body) throw new BodyTooLarge();
    this.chunks.push(Buffer.from(part));
  }

  private finish(): Message {
    const m = this.message;
    m.body = this.chunks.length === 1 ? (this.chunks[0] as Buffer) : Buffer.concat(this.chunks);
    this.message = blank();
    this.chunks = [];
    this.bodySize = 0;
    this.headerCount = 0;
    this.need = 0;
    this.untilClose = false;
    this.stage = 'start';
    return m;
  }
}

function blank(): Message {
  return {
    method: '',
    target: '',
    status: 0,
    headers: new Map(),
    body: EMPTY,
    keepAlive: true,
  };
}
