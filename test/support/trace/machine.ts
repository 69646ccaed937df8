import { type Cart, coresOf } from './cloud.js';
import { draw } from './draw.js';
import type { PlayedAnswer, PlayedRequest, Service } from './net.js';
import type { TracedWorld } from './world.js';

interface Hand {
  hand: string;
  try: number;
  standing: 'pulling' | 'running' | 'saving' | 'exited';
  cause?: string;
  kept?: boolean;
  /** When its present state ends. */
  until: number;
}

interface Order {
  verb: 'run' | 'kill' | 'forget';
  hand: string;
  try: number;
  windDownS?: number;
}

/** What a controller sends to a machine by itself. */
interface Commands {
  baton: number;
  shift: number;
  orders: Order[];
}

/** Intervals of the protocol, in milliseconds. */
const REPORT_MS = 3000;
const REPORT_TIMEOUT_MS = 4000;
const LEASE_MS = 20_000;
/** Steps of a worker's own time. */
const TICK_MS = 500;
const PULL_GB_PER_S = 0.5;

/** A machine with its worker, as the protocol describes it. */
export class PlayedMachine {
  /** Answers to its reports and commands don't reach it. */
  deaf = false;
  /** It stands still. */
  hangs = false;
  /** Something of it has changed since its last report. */
  private changed = true;
  gone = false;
  private recallS: number | null = null;
  private shift = 1;
  private tally = 0;
  private baton = 0;
  private readonly hands = new Map<string, Hand>();
  private readonly images = new Set<string>();
  private leaseFrom: number;
  private at: number;
  private due = 0;
  private held: (() => void)[] = [];

  constructor(
    private readonly world: TracedWorld,
    readonly cart: Cart,
  ) {
    this.leaseFrom = world.time.now();
    this.at = Math.floor(draw(world.seed, 'first', cart.id) * 3);
    const [host = '', port = ''] = cart.endpoint.split(':');
    world.net.serve(host, Number(port), (request, respond) => this.serve(request, respond));
    void this.run();
  }

  /** The cloud's notice reaches the worker. */
  recall(seconds: number): void {
    this.recallS = seconds;
    this.changed = true;
  }

  resume(): void {
    this.hangs = false;
    for (const work of this.held.splice(0)) work();
  }

  private report() {
    const { id, endpoint, rig, hall, loaner } = this.cart;
    const hands = [...this.hands.values()].map(({ until, ...hand }) => hand);
    const { shift, baton, recallS } = this;
    return {
      cart: id,
      endpoint,
      rig,
      hall,
      loaner,
      shift,
      tally: ++this.tally,
      baton,
      recallS,
      hands,
    };
  }

  private serve({ method, body }: PlayedRequest, respond: Parameters<Service>[1]): void {
    if (this.gone) return;
    if (this.hangs) {
      this.held.push(() => this.command(body as Commands, () => {}));
      return;
    }
    if (this.deaf) return;
    if (method === 'GET') {
      respond(200, this.report());
      return;
    }
    const { world } = this;
    const luck = draw(world.seed, 'command', this.cart.id, world.time.now());
    if (luck < world.lateCommands) {
      world.notes.add('late commands');
      world.time.later(2000 + luck * 30_000, () => this.command(body as Commands, () => {}));
      return;
    }
    const lost = luck > 1 - world.lostAnswers;
    if (lost) world.notes.add('lost answers to commands');
    this.command(body as Commands, lost ? () => {} : respond);
  }

  private command({ baton, shift, orders }: Commands, respond: Parameters<Service>[1]): void {
    this.sync();
    const fit = shift === this.shift && this.execute(baton, orders);
    respond(fit ? 200 : 409, this.report());
  }

  private execute(baton: number, orders: Order[]): boolean {
    if (baton < this.baton) return false;
    if (baton > this.baton || orders.length > 0) this.changed = true;
    this.baton = baton;
    for (const order of orders) {
      const key = `${order.hand} ${order.try}`;
      const hand = this.hands.get(key);
      if (order.verb === 'run' && !hand) this.start(key, order);
      else if (order.verb === 'kill' && hand) this.kill(hand, order.windDownS ?? 0);
      else if (order.verb === 'forget' && hand?.standing === 'exited') this.hands.delete(key);
    }
    return true;
  }

  private start(key: string, order: Order): void {
    const { world } = this;
    const job = world.jobOf(order.hand);
    const hand: Hand = { hand: order.hand, try: order.try, standing: 'running', until: 0 };
    this.hands.set(key, hand);
    world.notes.add(job.awaits.length > 0 ? 'starts of jobs that needed others' : 'starts');
    if (this.coresInUse() > coresOf(this.cart.rig)) {
      this.exit(hand, 'full');
      return;
    }
    if (this.images.has(job.deck)) {
      this.begin(hand);
      return;
    }
    this.images.add(job.deck);
    hand.standing = 'pulling';
    hand.until = world.time.now() + (job.pullGb / PULL_GB_PER_S) * 1000;
  }

  /** It has a task of the job that has not ended. */
  runs(job: string): boolean {
    return [...this.hands.values()].some(
      (h) => h.standing !== 'exited' && h.hand.startsWith(`${job}/`),
    );
  }

  /** Of one team's tasks, or of all. */
  coresInUse(team: string | null = null): number {
    let cores = 0;
    for (const h of this.hands.values()) {
      const job = this.world.jobOf(h.hand);
      if (h.standing !== 'exited' && (team === null || job.crew === team)) cores += job.cores;
    }
    return cores;
  }

  private begin(hand: Hand): void {
    this.changed = true;
    hand.standing = 'running';
    hand.until = this.world.time.now() + this.world.runMs(hand.hand, this.cart.id);
  }

  private kill(hand: Hand, windDownS: number): void {
    if (hand.standing === 'exited' || hand.standing === 'saving') return;
    const { world } = this;
    const wanted = world.isLive(hand.hand);
    if (wanted) world.notes.add(this.recallS === null ? 'preemptions' : 'stops for a spot notice');
    else world.notes.add('stops of cancelled work');
    if (windDownS > 0) world.notes.add('checkpoints saved');
    if (windDownS === 0 || hand.standing === 'pulling') {
      this.exit(hand, 'halted');
      return;
    }
    hand.standing = 'saving';
    hand.until = world.time.now() + windDownS * 1000;
  }

  private exit(hand: Hand, cause: string): void {
    this.changed = true;
    if (hand.standing === 'saving') hand.kept = true;
    hand.standing = 'exited';
    hand.cause = cause;
    if (cause !== 'done' && cause !== 'halted') this.world.notes.add('failures');
  }

  /** Its lease and its tasks' ends, to the moment. */
  private sync(): void {
    const now = this.world.time.now();
    if (now - this.leaseFrom > LEASE_MS) {
      this.world.notes.add('sessions lost');
      this.shift++;
      this.hands.clear();
      this.changed = true;
      this.leaseFrom = now;
    }
    for (const hand of this.hands.values()) {
      if (hand.standing === 'exited' || hand.until > now) continue;
      if (hand.standing === 'pulling') this.begin(hand);
      else if (hand.standing === 'saving') this.exit(hand, 'halted');
      else this.exit(hand, this.world.fails(hand.hand, this.cart.id) ? 'error' : 'done');
    }
  }

  private async run(): Promise<void> {
    const { time, seed } = this.world;
    this.due = time.now() + draw(seed, 'begins', this.cart.id) * REPORT_MS;
    while (!this.gone) {
      await time.sleep(TICK_MS);
      if (this.gone || this.hangs) continue;
      this.sync();
      if (time.now() < this.due && !this.changed) continue;
      this.changed = false;
      this.due = time.now() + REPORT_MS * (0.75 + draw(seed, this.cart.id, time.now()) * 0.5);
      await this.beat();
    }
  }

  private async beat(): Promise<void> {
    const { world } = this;
    const sentAt = world.time.now();
    const { shift } = this;
    const body = this.report();
    world.copyLater(this.cart.id, body);
    const answer = await this.post(this.at, body);
    if (this.gone || this.hangs || this.deaf) return;
    this.sync();
    const lost = draw(world.seed, 'answer', this.cart.id, sentAt) < world.lostAnswers;
    if (answer?.status === 200 && lost) return this.world.notes.add('lost answers to reports');
    if (answer?.status === 200) this.take(answer, shift, sentAt);
    else await this.goElsewhere(answer);
  }

  private post(to: number, body: unknown): Promise<PlayedAnswer | null> {
    const { net } = this.world;
    const address = `c-${to}:8000`;
    return net.request(this.cart.id, address, 'POST', '/agent/beat', body, REPORT_TIMEOUT_MS);
  }

  private take(answer: PlayedAnswer, shift: number, sentAt: number): void {
    const { baton, orders } = answer.body as { baton: number; orders: Order[] };
    if (shift !== this.shift || baton < this.baton) return;
    this.execute(baton, orders);
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
  }

  private async goElsewhere(answer: PlayedAnswer | null): Promise<void> {
    const named = Number(
      String((answer?.body as { steward?: string } | undefined)?.steward ?? '').slice(2) ||
        Number.NaN,
    );
    if (answer?.status === 421 && named >= 0 && named !== this.at) this.at = named;
    else {
      await this.world.time.sleep(1000);
      this.at = (this.at + 1) % 3;
    }
    this.changed = true;
  }
}
