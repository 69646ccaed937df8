/** How much fits a value or a transaction of the state service. */

/** Bytes that the parts of one transaction may take, with room for its frame (protocol). */
export const TRANSACTION_BYTES = 56 * 1024;

/** The share of a value's limit that its content may take; the rest is reserve. */
const VALUE_SHARE = 0.9;

/** Limits of the state service on values. */
export interface ValueLimits {
  /** Bytes of a value at all times, whatever limits come into force. */
  valueBytes: number;
}

/** Bytes of content that fit a value at all times. */
export function valueCapacityBytes(limits: ValueLimits): number {
  return limits.valueBytes * VALUE_SHARE;
}

/** Bytes of a value as the state service counts them. */
export function storedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Bytes of the brackets of a list. */
const LIST_FRAME_BYTES = 2;

/** Splits the ids, in order, into pages of at most these bytes. */
export function splitIntoPages(
  ids: readonly string[],
  firstPageBytes: number,
  pageBytes: number,
): string[][] {
  const pages: string[][] = [[]];
  let bytesLeft = firstPageBytes - LIST_FRAME_BYTES;
  for (const id of ids) {
    const bytes = storedBytes(id) + 1;
    if (bytes > bytesLeft) {
      pages.push([]);
      bytesLeft = pageBytes - LIST_FRAME_BYTES;
    }
    bytesLeft -= bytes;
    pages.at(-1)?.push(id);
  }
  return pages;
}
