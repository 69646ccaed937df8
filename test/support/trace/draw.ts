/** A number of 32 bits that depends on nothing but the text (FNV-1a, mixed once more). */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++)
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b) >>> 0;
  return (hash ^ (hash >>> 13)) >>> 0;
}

/**
 * A draw from 0 up to 1 for a named purpose. Unlike a stream of numbers it
 * does not depend on how many others were drawn before it.
 */
export function draw(...purpose: (string | number)[]): number {
  return hashOf(purpose.join(' ')) / 2 ** 32;
}
