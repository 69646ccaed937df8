import type { StateLimits } from '../config/state-limits.js';

/** All that one transaction may hold, with room for its frame (protocol). */
export const TRANSACTION_BYTES = 56 * 1024;

/** The part of a value that its content may fill. */
const VALUE_SHARE = 0.9;

/** Bytes of content that fit a value at all times. */
export function valueRoom(limits: Pick<StateLimits, 'valueBytes'>): number {
  return limits.valueBytes * VALUE_SHARE;
}

/** Bytes of a value as the state service counts them. */
export function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The brackets of a list. */
const LIST_FRAME_BYTES = 2;

/** The ids in order, in pages of which the first has less room. */
export function paged(ids: readonly string[], firstRoom: number, room: number): string[][] {
  const pages: string[][] = [[]];
  let left = firstRoom - LIST_FRAME_BYTES;
  for (const id of ids) {
    const bytes = bytesOf(id) + 1;
    if (bytes > left) {
      pages.push([]);
      left = room - LIST_FRAME_BYTES;
    }
    left -= bytes;
    pages.at(-1)?.push(id);
  }
  return pages;
}
