/** Shapes of dependency graphs, as jobs in the order of their submission. */

/** A job of a graph: the numbers of the jobs that it depends on and its expected duration, in seconds. */
export interface GraphJob {
  readonly dependencies: number[];
  readonly estimatedDurationS: number;
}

/** Returns the expected duration of the longer job in a round, in seconds; `round` counts from 0. */
export type RoundEstimate = (round: number) => number;

/** Doubles with each round, so that each path is longer than all that are visited before it. */
export const GROWING: RoundEstimate = (round) => 1 + 1e-5 * 2 ** Math.min(round, 40);
export const FALLING: RoundEstimate = (round) => 1 + 1e4 / 2 ** Math.min(round, 40);
export const CONSTANT: RoundEstimate = () => 2;

/** Rounds of a longer and a short job, which both depend on the round before, and one that depends on both. */
export function ladder(rounds: number, estimate: RoundEstimate = GROWING): GraphJob[] {
  const jobs: GraphJob[] = [{ dependencies: [], estimatedDurationS: 1 }];
  for (let round = 0; round < rounds; round++) {
    const previous = jobs.length - 1;
    jobs.push({ dependencies: [previous], estimatedDurationS: estimate(round) });
    jobs.push({ dependencies: [previous], estimatedDurationS: 1 });
    jobs.push({ dependencies: [previous + 1, previous + 2], estimatedDurationS: 1 });
  }
  return withLastJob(jobs, [jobs.length - 1]);
}

/** Layers of `width` jobs, each of which depends on all jobs of the layer before. */
export function layers(
  count: number,
  width: number,
  estimate: RoundEstimate = GROWING,
): GraphJob[] {
  const jobs: GraphJob[] = [];
  let previous: number[] = [];
  for (let layer = 0; layer < count; layer++) {
    const current: number[] = [];
    for (let i = 0; i < width; i++) {
      current.push(jobs.length);
      jobs.push({ dependencies: previous, estimatedDurationS: estimate(layer) * (1 + i / width) });
    }
    previous = current;
  }
  return withLastJob(jobs, previous);
}

/** One job that depends on `width` others. */
export function fanIn(width: number): GraphJob[] {
  const jobs = Array.from({ length: width }, () => ({ dependencies: [], estimatedDurationS: 1 }));
  return withLastJob(
    jobs,
    jobs.map((_, i) => i),
  );
}

/** `width` jobs that depend on the same one, and a last job that depends on them. */
export function fanOut(width: number): GraphJob[] {
  const jobs: GraphJob[] = [{ dependencies: [], estimatedDurationS: 1 }];
  for (let i = 0; i < width; i++)
    jobs.push({ dependencies: [0], estimatedDurationS: 1 + (i % 97) });
  return withLastJob(
    jobs,
    jobs.slice(1).map((_, i) => i + 1),
  );
}

/** Jobs that each depend on the one before. */
export function chain(length: number): GraphJob[] {
  return Array.from({ length }, (_, i) => ({
    dependencies: i === 0 ? [] : [i - 1],
    estimatedDurationS: 1 + (i % 7),
  }));
}

/** Returns the number of dependencies in the graph. */
export function countDependencies(jobs: readonly GraphJob[]): number {
  let count = 0;
  for (const job of jobs) count += job.dependencies.length;
  return count;
}

function withLastJob(jobs: GraphJob[], dependencies: number[]): GraphJob[] {
  return [...jobs, { dependencies, estimatedDurationS: 1 }];
}
