import type { Reply } from '../../http/server.js';
import type { MachineReport, Order } from '../../model/model.js';
import { notLeaderAnswer, parseReport, reportAnswer, tokenOf } from '../../protocol/wire.js';
import { liveKey } from '../../records/keys.js';
import { Priority } from '../../runtime/request-budget.js';
import type { Context } from '../context.js';
import type { Leadership } from '../election/leader-election.js';
import type { Leader } from '../leader/leader.js';
import type { Peers } from '../membership/peers.js';

interface RedirectedWorker {
  /** The leader that it was told of. */
  leader: string;
  seenAt: number;
  /** When it came back and was served here. */
  servedSince: number | null;
  /** A term that it was seen not to know of, and when: until then that term's leader had sent it nothing. */
  fresh: { term: number; at: number } | null;
}

/** Guests not heard of for this many worker leases are forgotten. */
const REDIRECTED_LEASES = 5;

/**
 * Workers' reports. The leader takes them. Another node names the leader;
 * when a worker comes back all the same, a cut keeps the two apart: the node
 * then passes the report on or, cut off itself, keeps the worker's lease alive
 * with the leader's own token for a while and orders nothing but the end of
 * cancelled work.
 */
export class Reports {
  private readonly redirected = new Map<string, RedirectedWorker>();
  private sweptAt = 0;
  /** The last term for whose silent leader machines were kept: said once in the log. */
  private keptTerm = 0;

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<Leadership, 'leader' | 'knownTerm' | 'current'>,
    private readonly leader: () => Leader | null,
    private readonly peers: Pick<Peers, 'hears' | 'heardLeading' | 'passReport' | 'mailReport'>,
    /** Asks a machine itself for its report. */
    private readonly show: (address: string) => Promise<MachineReport>,
  ) {}

  async handle(body: Buffer): Promise<Reply> {
    let report: MachineReport;
    try {
      report = parseReport(JSON.parse(body.toString()));
    } catch (error) {
      return { status: 400, body: { error: String((error as Error).message) } };
    }
    if (this.leader()) return this.lead(report, false);
    const { ctx, leadership } = this;
    const leader = leadership.leader;
    if (leader === null || leader === ctx.node) return { status: 421, body: notLeaderAnswer(null) };
    const now = ctx.clock.now();
    this.sweep(now);
    const reachable = this.peers.hears(leader);
    let worker = this.redirected.get(report.machine);
    if (!worker || worker.leader !== leader) {
      worker = {
        leader,
        seenAt: Number.NEGATIVE_INFINITY,
        servedSince: null,
        fresh: null,
      };
      this.redirected.set(report.machine, worker);
    }
    const returned = now - worker.seenAt < ctx.timing.reportMs * 4;
    worker.seenAt = now;
    // Now and then one that is served here is sent on all the same: the cut may be over.
    const long = worker.servedSince !== null && now - worker.servedSince > ctx.timing.workerLeaseMs;
    if (reachable && (!returned || long)) {
      worker.servedSince = null;
      return { status: 421, body: notLeaderAnswer(leader) };
    }
    worker.servedSince ??= now;
    try {
      return reachable
        ? await this.peers.passReport(leader, body)
        : await this.peers.mailReport(leader, report.machine, body);
    } catch (error) {
      ctx.log.debug({ error: String((error as Error).message) }, 'report not passed on');
    }
    // The worker would wait in vain at a leader that is silent here too: it is kept without a detour.
    return this.stand(report, worker);
  }

  /** A report that a peer passed on, or one of our own. */
  async lead(report: MachineReport, relayed: boolean): Promise<Reply> {
    // Before the jobs are read no lease may be renewed; a moment later its orders go with the answer.
    await this.leader()?.begun();
    const leader = this.leader();
    const term = this.leadership.current;
    if (!leader || !term) return { status: 421, body: notLeaderAnswer(null) };
    if (report.term > term.term) {
      // The worker has answered to a later leader.
      term.resign('a report carries a higher token');
      return { status: 421, body: notLeaderAnswer(null) };
    }
    if (!term.mayAnswer()) return { status: 503, body: { error: 'leadership is not proven' } };
    const { orders, fence } = leader.report(report, relayed);
    return { status: 200, body: reportAnswer(tokenOf(term.term, fence), orders) };
  }

  private async stand(report: MachineReport, worker: RedirectedWorker): Promise<Reply> {
    const { ctx, leadership } = this;
    const term = leadership.knownTerm;
    const away = { status: 421, body: notLeaderAnswer(null) };
    if (term === null || report.term > term) return away;
    const now = ctx.clock.now();
    if (report.term < term && worker.fresh?.term !== term && (await this.unaware(report, term)))
      worker.fresh = { term, at: now };
    const from = this.mayHoldStartsFrom(worker, term);
    if (from === null || now - from > ctx.timing.deputyMs) return away;
    this.noteKeeping(term, worker.leader, report.machine);
    const orders: Order[] = [];
    try {
      // Whoever answers a worker answers for the cancellations too.
      const over = new Map<string, boolean>();
      for (const t of report.tasks) {
        if (t.state === 'exited') continue;
        if (!over.has(t.job))
          over.set(t.job, (await ctx.state.get(liveKey(t.job), Priority.ends)) === null);
        if (over.get(t.job))
          orders.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
      }
    } catch {
      return { status: 503, body: { error: 'the state service is out of reach' } };
    }
    const fence = report.term === term ? report.fence : 0;
    return { status: 200, body: reportAnswer(tokenOf(term, fence), orders) };
  }

  /**
   * A start of that leader may be held back by the cut, and reach a session that is kept alive.
   * Its time is counted from when the leader fell silent, so that several nodes can't add theirs
   * up; a machine that learns of the term only here can have no such start on its way.
   */
  private mayHoldStartsFrom(worker: RedirectedWorker, term: number): number | null {
    if (worker.fresh?.term === term) return worker.fresh.at;
    return this.peers.heardLeading(worker.leader, term);
  }

  /** Logged once a term. */
  private noteKeeping(term: number, leader: string, machine: string): void {
    if (this.keptTerm !== term)
      this.ctx.log.info({ term, leader, machine }, 'keeping cut-off machines');
    this.keptTerm = term;
  }

  /**
   * The machine does not know of the term. Its report alone does not show
   * that: a late copy carries an old token for as long as copies may last,
   * and would start the time for which the machine is kept anew.
   */
  private async unaware(report: MachineReport, term: number): Promise<boolean> {
    try {
      const shown = await this.show(report.address);
      return shown.machine === report.machine && shown.term < term;
    } catch (error) {
      this.ctx.log.debug({ error: String((error as Error).message) }, 'machine not asked');
      return false;
    }
  }

  private sweep(now: number): void {
    const keep = this.ctx.timing.workerLeaseMs * REDIRECTED_LEASES;
    if (now - this.sweptAt < keep) return;
    this.sweptAt = now;
    for (const [id, g] of this.redirected) if (now - g.seenAt > keep) this.redirected.delete(id);
  }
}
