import { decode, encode } from 'cbor-x/encode';

/** Frames between controllers: a four-byte length, then one CBOR value. */

/** A report with all of a machine's tasks fits well; anything larger is a fault. */
const MAX_FRAME = 1024 * 1024;

export function packFrame(value: unknown): Buffer {
  const body = encode(value);
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  body.copy(out, 4);
  return out;
}

/** Collects bytes into values; throws on a frame that is too large or not CBOR. */
export class FrameReader {
  private pending: Buffer = Buffer.alloc(0);

  push(data: Buffer): unknown[] {
    const out: unknown[] = [];
    let buf = this.pending.length > 0 ? Buffer.concat([this.pending, data]) : data;
    while (buf.length >= 4) {
      const size = buf.readUInt32BE(0);
      if (size > MAX_FRAME) throw new Error('frame too large');
      if (buf.length < 4 + size) break;
      out.push(decode(buf.subarray(4, 4 + size)));
      buf = buf.subarray(4 + size);
    }
    this.pending = Buffer.from(buf);
    return out;
  }
}
