/**
 * Incremental HTTP/1.1 parser for requests and responses. The input may be
 * split at any byte, since the parser keeps its state between calls to `push`.
 */
import { assertNever } from '../runtime/assert-never.js';
import { BodyTooLargeError, HttpParseError } from './errors.js';
import {
  emptyMessage,
  type Message,
  readConnectionHeader,
  readHeader,
  readRequestLine,
  readStatusLine,
} from './message.js';

/** Limits on the memory that one message can occupy. */
export interface ParserLimits {
  /** Maximum length of any line, such as a start line or header line. */
  maxLineBytes: number;
  /** Maximum number of header lines, and separately of trailer lines. */
  maxHeaderLines: number;
  /** Maximum length of a body, without its chunk framing. */
  maxBodyBytes: number;
}

/** Limits of requests to the server. */
export const REQUEST_LIMITS: ParserLimits = {
  maxLineBytes: 8 * 1024,
  maxHeaderLines: 64,
  maxBodyBytes: 64 * 1024,
};

/** Stages in which a line is expected next. */
type LineStage = 'startLine' | 'header' | 'chunkSize' | 'chunkEnd' | 'trailer';
/** Stages in which body bytes are expected next. */
type BodyStage = 'body' | 'chunkData';

const CHUNK_SIZE = /^[0-9a-fA-F]{1,8}$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EMPTY = Buffer.alloc(0);

/** Parses the messages of one direction of a connection. */
export class Parser {
  private stage: LineStage | BodyStage = 'startLine';
  /** The received part of an incomplete line. */
  private partialLine: Buffer = EMPTY;
  private message: Message = emptyMessage();
  private headerCount = 0;
  /** Bytes of the body or chunk that are still to be received. */
  private remainingBytes = 0;
  private bodyParts: Buffer[] = [];
  private bodyBytes = 0;
  /** Whether the message is a response without a length, whose body ends when the connection closes. */
  private isCloseDelimited = false;

  constructor(
    private readonly kind: 'request' | 'response',
    private readonly limits: ParserLimits,
  ) {}

  /** Reports whether a message has been received in part. */
  get hasPartialMessage(): boolean {
    return this.stage !== 'startLine' || this.partialLine.length > 0;
  }

  /**
   * Parses further input and returns the messages that it completes. Throws
   * `HttpParseError`, after which the parser cannot continue.
   */
  push(data: Buffer): Message[] {
    const completed: Message[] = [];
    let rest = this.partialLine.length > 0 ? Buffer.concat([this.partialLine, data]) : data;
    this.partialLine = EMPTY;
    for (;;) {
      const { stage } = this;
      const consumed =
        stage === 'body' || stage === 'chunkData'
          ? this.consumeBody(stage, rest, completed)
          : this.consumeLine(stage, rest, completed);
      if (consumed === 0) return completed;
      rest = rest.subarray(consumed);
    }
  }

  /**
   * Ends the input. Returns the response whose body ends with the connection,
   * or null when there is none.
   */
  close(): Message | null {
    return this.isCloseDelimited ? this.finishMessage() : null;
  }

  /** Consumes the body bytes at the start of `data`; returns their number. */
  private consumeBody(stage: BodyStage, data: Buffer, completed: Message[]): number {
    const size = this.isCloseDelimited ? data.length : Math.min(this.remainingBytes, data.length);
    if (size > 0 && this.readBody(stage, data.subarray(0, size)))
      completed.push(this.finishMessage());
    return size;
  }

  /** Consumes a line at the start of `data`; returns its length, or 0 while the line is incomplete. */
  private consumeLine(stage: LineStage, data: Buffer, completed: Message[]): number {
    const end = data.indexOf(LINE_FEED);
    if ((end < 0 ? data.length : end) > this.limits.maxLineBytes) throw lineTooLongError(stage);
    if (end < 0) {
      // Copied, since a slice could keep a large shared read buffer in memory.
      this.partialLine = Buffer.from(data);
      return 0;
    }
    const hasReturn = end > 0 && data[end - 1] === CARRIAGE_RETURN;
    const line = data.toString('latin1', 0, hasReturn ? end - 1 : end);
    if (this.readLine(stage, line)) completed.push(this.finishMessage());
    return end + 1;
  }

  /** Reads a part of the body; returns true when it completes the message. */
  private readBody(stage: BodyStage, part: Buffer): boolean {
    this.bodyBytes += part.length;
    if (this.bodyBytes > this.limits.maxBodyBytes) throw new BodyTooLargeError();
    // Copied for the same reason as in consumeLine.
    this.bodyParts.push(Buffer.from(part));
    if (this.isCloseDelimited) return false;
    this.remainingBytes -= part.length;
    if (this.remainingBytes > 0) return false;
    if (stage === 'body') return true;
    this.stage = 'chunkEnd';
    return false;
  }

  /** Reads one line; returns true when it completes the message. */
  private readLine(stage: LineStage, line: string): boolean {
    switch (stage) {
      case 'startLine':
        this.readStartLine(line);
        return false;
      case 'header':
        if (line === '') return this.finishHeaders();
        this.readHeaderLine(line);
        return false;
      case 'chunkSize':
        this.readChunkSize(line);
        return false;
      case 'chunkEnd':
        if (line !== '') throw new HttpParseError(400, 'bad chunk end');
        this.stage = 'chunkSize';
        return false;
      case 'trailer':
        if (line === '') return true;
        this.skipTrailer();
        return false;
      default:
        return assertNever(stage);
    }
  }

  private readStartLine(line: string): void {
    // Blank lines before a message are ignored, as the HTTP standard recommends.
    if (line === '') return;
    if (this.kind === 'request') readRequestLine(line, this.message);
    else readStatusLine(line, this.message);
    this.stage = 'header';
  }

  private readHeaderLine(line: string): void {
    if (++this.headerCount > this.limits.maxHeaderLines)
      throw new HttpParseError(431, 'too many headers');
    readHeader(line, this.message);
  }

  /** Determines the framing of the body from the headers; returns true when there is no body. */
  private finishHeaders(): boolean {
    const { message } = this;
    readConnectionHeader(message);
    const coding = message.headers.get('transfer-encoding');
    const length = message.headers.get('content-length');
    if (coding !== undefined) {
      // With both headers, parsers could disagree about where the body ends (request smuggling).
      if (coding.toLowerCase() !== 'chunked' || length !== undefined)
        throw new HttpParseError(400, 'bad transfer coding');
      this.stage = 'chunkSize';
      return false;
    }
    if (length !== undefined) return this.expectBody(length);
    if (this.kind === 'response') return this.expectBodyUntilClose();
    if (message.method === 'POST' || message.method === 'PUT')
      throw new HttpParseError(411, 'length required');
    return true;
  }

  /** Prepares for a body of the given length; returns true when the length is 0. */
  private expectBody(contentLength: string): boolean {
    if (!CONTENT_LENGTH.test(contentLength)) throw new HttpParseError(400, 'bad content length');
    const length = Number(contentLength);
    if (length > this.limits.maxBodyBytes) throw new BodyTooLargeError();
    if (length === 0) return true;
    this.remainingBytes = length;
    this.stage = 'body';
    return false;
  }

  /** Prepares for a response body without a length; returns true when the status allows no body. */
  private expectBodyUntilClose(): boolean {
    const { message } = this;
    if (message.status === 204 || message.status === 304) return true;
    this.isCloseDelimited = true;
    message.keepAlive = false;
    this.stage = 'body';
    return false;
  }

  private readChunkSize(line: string): void {
    const size = (line.split(';', 1)[0] ?? '').trim();
    if (!CHUNK_SIZE.test(size)) throw new HttpParseError(400, 'bad chunk size');
    this.remainingBytes = Number.parseInt(size, 16);
    if (this.bodyBytes + this.remainingBytes > this.limits.maxBodyBytes)
      throw new BodyTooLargeError();
    this.headerCount = 0;
    this.stage = this.remainingBytes === 0 ? 'trailer' : 'chunkData';
  }

  private skipTrailer(): void {
    if (++this.headerCount > this.limits.maxHeaderLines)
      throw new HttpParseError(431, 'too many trailer lines');
  }

  /** Returns the complete message and resets the parser for the next one. */
  private finishMessage(): Message {
    const { message, bodyParts } = this;
    message.body = bodyParts.length === 1 ? (bodyParts[0] as Buffer) : Buffer.concat(bodyParts);
    this.message = emptyMessage();
    this.bodyParts = [];
    this.bodyBytes = 0;
    this.headerCount = 0;
    this.remainingBytes = 0;
    this.isCloseDelimited = false;
    this.stage = 'startLine';
    return message;
  }
}

function lineTooLongError(stage: LineStage): HttpParseError {
  return stage === 'startLine'
    ? new HttpParseError(414, 'start line too long')
    : new HttpParseError(431, 'header line too long');
}
