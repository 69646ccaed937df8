import { draw } from './draw.js';
import type { PlayedMachine } from './machine.js';
import { type StateSettings, type Submission, TracedWorld } from './world.js';

/** One history: what goes wrong, when, and how long it lasts. */
interface Script {
  /** Seconds after which the troubles begin, between two of them, and until the end. */
  from: number;
  every: number;
  until: number;
  /** The n-th trouble. */
  trouble: (play: Play, n: number) => void;
  /** Where the state service's settings differ. */
  state?: Partial<StateSettings>;
  /** Before anything is submitted. */
  prepare?: (play: Play) => void;
}

/** Kinds of work that users submit in turn. */
const WORK: Partial<Submission>[] = [
  {},
  { rank: 'low', bracket: 'batch', hands: 4, expectedS: 60, markEveryS: 10, markCostS: 2 },
  { crew: 'lab', cores: 8, hands: 3, loaner: false },
  { rank: 'urgent', cores: 2, hands: 6, deck: 'small', pullGb: 0.5, scatter: true },
  { rank: 'critical', cores: 16, hands: 1, memoryGb: 32, expectedS: 12 },
  { accelerators: 1, cores: 2, hands: 2, bracket: 'due', dueS: 60, deck: 'gpu', pullGb: 3 },
  { rank: 'low', hands: 12, cores: 1, memoryGb: 2, expectedS: 8, oneZone: true },
  { hands: 1, cores: 12, hall: 'a', expectedS: 25 },
  { crew: 'lab', cores: 2, hands: 10, rank: 'urgent', expectedS: 10 },
];

/** Submissions that must be refused. */
const REFUSED: Partial<Submission>[] = [
  { cores: 400 },
  { crew: 'nobody' },
  { hands: 0 },
  { awaits: ['req-999999'] },
  { crew: 'lab', cores: 30 },
];

/** A world while a history is played, with the users of every day. */
export class Play {
  readonly world: TracedWorld;
  readonly ids: string[] = [];
  readonly recalled = new Set<PlayedMachine>();

  constructor(
    readonly seed: string,
    state: Partial<StateSettings> = {},
  ) {
    this.world = new TracedWorld(seed, state);
  }

  luck(...purpose: (string | number)[]): number {
    return draw(this.seed, ...purpose);
  }

  one<T>(list: readonly T[], ...purpose: (string | number)[]): T | undefined {
    return list[Math.floor(this.luck(...purpose) * list.length)];
  }

  machine(n: number): PlayedMachine | undefined {
    const up = [...this.world.machines.values()];
    return this.one(up, 'machine', n);
  }

  recall(m: PlayedMachine, seconds: number): void {
    this.recalled.add(m);
    this.world.recall(m, seconds);
  }

  /** What the n-th step of everyday use is. */
  use(n: number): void {
    const { world, ids } = this;
    const luck = this.luck('use', n);
    const id = this.one(ids.slice(-10), 'id', n);
    if (n % 3 === 0 || !id) ids.push(world.submit(this.work(n)));
    else if (luck < 0.5) world.query(id);
    else if (luck < 0.62) world.submit({ id });
    else if (luck < 0.72) world.cancel(id);
    else if (luck < 0.78) world.submit(this.one(REFUSED, 'refused', n));
    else ids.push(world.submit({ ...this.work(n + 1), awaits: this.upstream(n) }));
    if (n % 10 === 0) world.ask('GET', '/healthz', undefined, n % 3);
  }

  private work(n: number): Partial<Submission> {
    return WORK[Math.floor(n / 3 + this.luck('work') * WORK.length) % WORK.length] ?? {};
  }

  private upstream(n: number): string[] {
    return this.ids.slice(-4).filter((id) => this.luck('needs', n, id) < 0.5);
  }
}

/** Everyday use with scripted troubles from beginning to end. */
export async function playHistory(kind: string, seed: number): Promise<TracedWorld> {
  const script = SCRIPTS[kind];
  if (!script) throw new Error(`no history of the kind ${kind}`);
  const play = new Play(`${kind} ${seed}`, script.state);
  const { world } = play;
  await world.play(async () => {
    for (const i of [0, 1, 2]) world.start(i);
    script.prepare?.(play);
    await world.run(3);
    let troubles = 0;
    for (let step = 0; step < script.until; step++) {
      // Users rest before the end, so that what is idle goes back.
      if (step < script.until * 0.7) play.use(step);
      if (step >= script.from && (step - script.from) % script.every === 0)
        script.trouble(play, troubles++);
      await world.run(1);
      world.look();
    }
    for (const id of play.ids) world.query(id);
    await world.run(5);
  });
  world.sumUp();
  return world;
}

function restartLater({ world }: Play, i: number, ms: number): void {
  world.crash(i);
  world.time.later(ms, () => world.start(i));
}

/** Users come more often than machines do: everything but the trouble named is calm. */
const SCRIPTS: Record<string, Script> = {
  calm: {
    from: 18,
    every: 6,
    until: 66,
    prepare: ({ world }) => {
      world.cloud.capacity = (rig) => (rig === 'm16' ? 2 : 1);
    },
    trouble: (play, n) => {
      const spot = [...play.world.machines.values()].filter(
        (m) => m.cart.loaner && !play.recalled.has(m),
      );
      const m = play.one(spot, 'spot', n);
      if (m) play.recall(m, 4 + n * 3);
    },
  },
  takeovers: {
    from: 15,
    every: 12,
    until: 62,
    trouble: (play, n) => {
      const { world } = play;
      if (n % 3 === 2) for (const i of [0, 1, 2]) restartLater(play, i, 1000 + i * 2500);
      else restartLater(play, world.leading, 500 + play.luck('back', n) * 6000);
      // Who keeps the machines meanwhile has to end this.
      for (const id of play.ids.slice(-9))
        if (n % 2 === 0 && world.isRunning(id)) world.time.later(300, () => world.cancel(id));
    },
  },
  cuts: {
    from: 14,
    every: 16,
    until: 70,
    trouble: (play, n) => {
      const { world } = play;
      const leader = `c-${world.leading}`;
      const ms = 8000 + play.luck('cut', n) * 14_000;
      const isMachine = (host: string) => host.startsWith('n-');
      const isPeer = (host: string) => host.startsWith('c-') && host !== leader;
      if (n % 4 === 0)
        world.cut(
          ms,
          (h) => h === leader,
          (h) => isMachine(h) && h.endsWith('1'),
        );
      else if (n % 4 === 1)
        world.cut(
          ms,
          (h) => h === leader,
          (h) => isPeer(h) || isMachine(h),
        );
      else if (n % 4 === 2)
        world.cut(
          ms,
          (h) => world.zoneOf(h) === 'a',
          (h) => world.zoneOf(h) === 'b',
        );
      else world.cut(ms, (h) => h === leader, isMachine);
    },
  },
  'state service': {
    from: 12,
    every: 8,
    until: 64,
    trouble: (play, n) => {
      const { world } = play;
      const ms = 2000 + play.luck('state', n) * 9000;
      const one = n % 2 === 0 ? world.leading : (world.leading + 1) % 3;
      if (n % 6 === 0) world.trouble(one, ms, { refusal: 429 });
      else if (n % 6 === 1) world.trouble(one, ms, { refusal: 503 });
      else if (n % 6 === 2) world.trouble(one, ms, { lostAnswers: 0.3 });
      else if (n % 6 === 3) {
        world.state.setOutage(true);
        world.time.later(ms * 2, () => world.state.setOutage(false));
      } else if (n % 6 === 4) world.trouble(one, ms * 2, { late: 0.6 });
      else world.state.compact();
    },
  },
  'lost and late': {
    from: 10,
    every: 12,
    until: 62,
    prepare: ({ world }) => {
      world.lostAnswers = 0.15;
      world.lateCommands = 0.1;
      world.copies = 0.15;
    },
    trouble: (play, n) => {
      const m = play.machine(n);
      if (!m) return;
      m.hangs = true;
      play.world.time.later(2000 + play.luck('hangs', n) * 16_000, () => m.resume());
    },
  },
  cloud: {
    from: 8,
    every: 9,
    until: 62,
    prepare: ({ world }) => {
      world.cloud.capacity = (_rig, hall, loaner) => (loaner ? 1 : hall === 'a' ? 0 : 3);
      world.cloud.deadOnArrival = 0.25;
      world.cloud.lostAnswers = 0.25;
    },
    trouble: (play, n) => {
      const { cloud } = play.world;
      cloud.silent = n % 3 === 1;
      if (n === 3) cloud.capacity = () => 3;
    },
  },
  failures: {
    from: 14,
    every: 7,
    until: 70,
    prepare: (play) => {
      const { world } = play;
      world.fails = (hand, machine) => {
        const job = hand.split('/')[0] as string;
        return play.luck('bad job', job) < 0.08 || play.luck('bad machine', machine) < 0.15;
      };
    },
    trouble: (play, n) => {
      const m = play.machine(n);
      if (!m) return;
      if (n % 3 === 0) m.deaf = true;
      else if (n % 3 === 1) m.hangs = true;
      else play.recall(m, 2.5);
    },
  },
  dependencies: {
    from: 4,
    every: 6,
    until: 56,
    trouble: (play, n) => {
      const { world, ids } = play;
      const top = world.submit({ hands: 2, expectedS: 6 + n });
      const next = () => world.submit({ hands: 2, expectedS: 5, awaits: [top] });
      const last = (id: string) => world.submit({ hands: 1, awaits: [id, ...ids.slice(-12)] });
      world.time.later(500, () => {
        const id = next();
        world.time.later(500, () => ids.push(last(id)));
      });
      if (n % 3 === 1) world.time.later(2500, () => world.cancel(top));
      if (n % 5 === 4) restartLater(play, world.leading, 2000);
    },
  },
  crowded: {
    from: 12,
    every: 9,
    until: 150,
    prepare: ({ world }) => {
      world.cloud.capacity = (rig, _hall, loaner) => (rig === 'm16' && !loaner ? 1 : 0);
    },
    trouble: ({ world, ids }, n) => {
      const long = { expectedS: 80, cores: 8, hands: 2, loaner: false };
      if (n % 3 === 0)
        ids.push(world.submit({ ...long, rank: 'low', markEveryS: 20, markCostS: 3 }));
      else if (n % 3 === 1) ids.push(world.submit({ ...long, crew: 'lab', expectedS: 30 }));
      else ids.push(world.submit({ rank: 'critical', cores: 16, hands: 1, loaner: false }));
    },
  },
  silence: {
    from: 16,
    every: 13,
    until: 100,
    prepare: ({ world, ids }) => {
      for (let i = 0; i < 4; i++) ids.push(world.submit({ hands: 24, expectedS: 20 }));
    },
    trouble: (play, n) => {
      const { world, ids } = play;
      ids.push(world.submit({ hands: 20, expectedS: 18 }));
      const some = [...world.machines.values()].slice(n % 2, (n % 2) + (n % 3 === 0 ? 1 : 3));
      for (const m of some) {
        if (n % 3 === 2) m.deaf = true;
        else m.hangs = true;
        if (n % 3 === 1) world.time.later(4600 + 100 * n, () => m.resume());
      }
      if (n % 3 === 0) world.time.later(700, () => restartLater(play, world.leading, 3000));
      if (n !== 4) return;
      world.state.setOutage(true);
      world.time.later(33_000, () => world.state.setOutage(false));
    },
  },
  'long lists': {
    from: 6,
    every: 11,
    until: 50,
    state: { value_kb: 0.75 },
    prepare: ({ world }) => {
      world.cloud.capacity = () => 2;
    },
    trouble: ({ world, ids }, n) => {
      const small = { hands: 1, cores: 1, expectedS: 4, deck: 'small', pullGb: 0.5 };
      const named = Array.from({ length: 30 }, (_, i) => world.submit(small, i % 3));
      world.time.later(400, () => ids.push(world.submit({ ...small, awaits: named })));
      if (n === 1) world.time.later(900, () => world.cancel(named[20] as string));
    },
  },
  'lowered limits': {
    from: 14,
    every: 15,
    until: 56,
    state: { next: { write_rps: 12, value_kb: 1, txn_ops: 4 } },
    trouble: (play, n) => {
      const { state } = play.world;
      if (n === 0) state.limits = { valueBytes: 1024, writes: 4, writesPerS: 12 };
      else restartLater(play, play.world.leading, 1500);
    },
  },
};

/** The kinds of history there are. */
export const KINDS = Object.keys(SCRIPTS);
