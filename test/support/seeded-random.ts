import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANDOM_RANGE = 2 ** 24;

/** Returns a generator of numbers from 0 to 1, exclusive, that the seed determines. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
}
