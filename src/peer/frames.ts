/** Frames between controllers: a four-byte length, big-endian, then one CBOR value. */
import { decode, encode } from 'cbor-x/encode';

/** A heartbeat with all of a machine's tasks fits well; anything larger is a fault. */
const MAX_FRAME_BYTES = 1024 * 1024;

/** Bytes of the length before each value. */
const LENGTH_PREFIX_BYTES = 4;

/** A frame announces more bytes than any peer sends: the stream is not one of frames, or out of step. */
export class FrameTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`frame too large: ${bytes} bytes`);
  }
}

/** The bytes of one frame with this value. */
export function packFrame(value: unknown): Buffer {
  const body = encode(value);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_PREFIX_BYTES);
  return frame;
}

/** Collects the bytes of one connection into values. */
export class FrameReader {
  /** The beginning of a frame whose rest has not arrived. */
  private pending: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes as they arrive and returns the values of all frames that are
   * complete with them.
   *
   * @throws FrameTooLargeError, or the decoder's error when a frame is not
   * CBOR. The connection is of no use after that.
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
