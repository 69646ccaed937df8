/** Frames between controllers: a four-byte big-endian length followed by one CBOR value. */
import { decode, encode } from 'cbor-x/encode';

/**
 * Maximum length of a value. A heartbeat with all tasks of a machine is far
 * shorter; a longer value indicates a fault.
 */
const MAX_FRAME_BYTES = 1024 * 1024;

/** Size of the length that precedes each value. */
const LENGTH_PREFIX_BYTES = 4;

/**
 * The length of a frame exceeds the maximum: the stream does not consist of
 * frames, or the reader is out of sync.
 */
export class FrameTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`frame too large: ${bytes} bytes`);
  }
}

/** Encodes a value as one frame. */
export function packFrame(value: unknown): Buffer {
  const body = encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_PREFIX_BYTES);
  return frame;
}

/** Decodes the frames that arrive on one connection. */
export class FrameReader {
  /** The received part of an incomplete frame. */
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Appends received bytes and returns the values of the frames that they
   * complete.
   *
   * @throws FrameTooLargeError, or the decoder's error when a frame is not
   * CBOR. The reader cannot continue after an error; the connection must be
   * closed.
   */
  push(data: Buffer): unknown[] {
    const values: unknown[] = [];
    let bytes = this.pending.length > 0 ? Buffer.concat([this.pending, data]) : data;
    while (bytes.length >= LENGTH_PREFIX_BYTES) {
      const size = bytes.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) throw new FrameTooLargeError(size);
      const end = LENGTH_PREFIX_BYTES + size;
      if (bytes.length < end) break;
      values.push(decode(bytes.subarray(LENGTH_PREFIX_BYTES, end)));
      bytes = bytes.subarray(end);
    }
    this.pending = Buffer.from(bytes);
    return values;
  }
}
