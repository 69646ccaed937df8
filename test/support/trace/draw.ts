/** Returns a 32-bit hash of the text: FNV-1a with a final mixing step. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++)
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b) >>> 0;
  return (hash ^ (hash >>> 13)) >>> 0;
}

/**
 * Returns a pseudo-random number in [0, 1) that depends only on the purpose.
 * Unlike the next number of a generator, it does not depend on how many numbers
 * were drawn before. Each purpose is part of the recorded histories: changing
 * its text changes their digests.
 */
export function draw(...purpose: (string | number)[]): number {
  return hashOf(purpose.join(' ')) / 2 ** 32;
}
