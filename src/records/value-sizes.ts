/** Sizes of values and transactions in the state service, in bytes of JSON. */

/**
 * Bytes that the values of one transaction may take together. The rest of the state
 * service's limit on a transaction is left for the other parts of the request.
 */
export const MAX_TRANSACTION_VALUE_BYTES = 56 * 1024;

/** The share of the limit on a value that its content may take. The rest is a reserve. */
const VALUE_CONTENT_SHARE = 0.9;

/** Limits of the state service on values. */
export interface ValueLimits {
  /**
   * Limit on a value in bytes: the lower of the current limit and the one that the
   * settings announce.
   */
  valueBytes: number;
}

/** Returns the bytes of content that a value may have under all limits. May be fractional. */
export function valueCapacityBytes(limits: ValueLimits): number {
  return limits.valueBytes * VALUE_CONTENT_SHARE;
}

/** Returns the bytes of a value as the state service counts them. */
export function storedBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** Bytes of the brackets around a JSON array. */
const ARRAY_BRACKET_BYTES = 2;

/**
 * Splits the ids, in order, into pages of at most `pageBytes` bytes each, the first of at
 * most `firstPageBytes`. Always returns a first page, which may be empty. An id that is
 * too long for a page still gets one of its own.
 */
export function splitIntoPages(
  ids: readonly string[],
  firstPageBytes: number,
  pageBytes: number,
): string[][] {
  const pages: string[][] = [[]];
  let bytesLeft = firstPageBytes - ARRAY_BRACKET_BYTES;
  for (const id of ids) {
    const bytes = storedBytes(id) + 1;
    if (bytes > bytesLeft) {
      pages.push([]);
      bytesLeft = pageBytes - ARRAY_BRACKET_BYTES;
    }
    bytesLeft -= bytes;
    pages.at(-1)?.push(id);
  }
  return pages;
}
