import type { Reply } from '../../http/server.js';
import type { JobSpec } from '../../model/job.js';
import { unrunnableReason } from '../../model/job-feasibility.js';
import {
  JOB_ID_PATTERN,
  type JobState,
  jobStateBody,
  jobStatusBody,
  parseDependencies,
  parseJobId,
  parseSubmission,
} from '../../protocol/job-protocol.js';
import { MalformedMessageError } from '../../protocol/json-fields.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencyListContendedError } from './dependency-lists.js';
import { DependencyStatus } from './dependency-status.js';
import { JobLookups } from './job-lookups.js';
import {
  type EndedJob,
  hasDependencies,
  JobStore,
  JobTooLargeError,
  type LiveJob,
  type LiveJobRecord,
  type StoredJob,
} from './job-store.js';

/** Counts of a live job's tasks, for display only. */
interface TaskCounts {
  done: number;
  running: number;
}

interface JobStatus {
  state: JobState;
  tasks: number;
  version: number;
  /** Null: it has ended. */
  live: LiveJob | null;
}

interface Submission {
  spec: JobSpec;
  upstream: string[];
}

function endedStatus(job: EndedJob): JobStatus {
  const { state, tasks } = job.record;
  return { state: state, tasks, version: job.version, live: null };
}

/** Jobs that a refusal names at the most. */
const MAX_NAMED_JOBS = 5;

/** Seconds after which a refused user may come back. */
const RETRY_AFTER_S = 1;

export function unavailable(why: string): Reply {
  return { status: 503, body: { error: why }, retryAfterS: RETRY_AFTER_S };
}

function refusal(status: number, why: string): Reply {
  return { status, body: { error: why } };
}

/** What users ask, answered from the state service by any node, leader or not. */
export class JobApi {
  private readonly store: JobStore;
  private readonly dependencies: DependencyStatus;
  private readonly lookups: JobLookups;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly taskCounts: (id: string) => TaskCounts | null,
    /** Has whoever leads stop the job before its user is told. */
    private readonly announce: (id: string, revision: number) => Promise<void>,
    /** Whether this node or the leader has no memory for further jobs. */
    private readonly memoryIsShort: () => boolean = () => false,
  ) {
    this.store = new JobStore(ctx);
    this.dependencies = new DependencyStatus(ctx, this.store);
    this.lookups = new JobLookups(this.store, RequestPriority.questions);
  }

  private async findStatus(id: string): Promise<JobStatus | null> {
    const job = await this.store.find(id, RequestPriority.users);
    return job && this.statusOf(id, job, RequestPriority.users);
  }

  private async statusOf(
    id: string,
    job: StoredJob,
    priority: RequestPriority,
  ): Promise<JobStatus> {
    if (!job.live) return endedStatus(job);
    const counts = this.taskCounts(id);
    const running = (counts?.running ?? 0) > 0;
    const begun = running || (counts?.done ?? 0) > 0;
    if (!begun && hasDependencies(job.record)) {
      const end = await this.cancelWithDependency(id, job, priority);
      if (end) return end;
    }
    return {
      state: running ? 'running' : 'queued',
      tasks: job.record.spec.tasks,
      version: job.version,
      live: job,
    };
  }

  /**
   * A job that needs a cancelled one is cancelled with it, which the leader
   * may not have done yet. It is called so only once that is durable: what one
   * node says no other may contradict.
   */
  private async cancelWithDependency(
    id: string,
    job: LiveJob,
    priority: RequestPriority,
  ): Promise<JobStatus | null> {
    if (!(await this.dependencies.isCancelledByDependency(id, job.record, priority))) return null;
    const moved = await this.store.cancel(job, priority);
    if (moved.ok) {
      this.ctx.log.info({ job: id }, 'cancelled with a job that it needs');
      const { tasks } = job.record.spec;
      return { state: 'cancelled', tasks, version: moved.revision, live: null };
    }
    const end = await this.store.findEnd(id, priority);
    if (!end) throw new Error(`${id} is neither live nor over`);
    return endedStatus(end);
  }

  async submit(body: Buffer): Promise<Reply> {
    let json: unknown;
    let id: string;
    try {
      json = JSON.parse(body.toString());
      id = parseJobId(json);
    } catch (error) {
      return refusal(400, error instanceof MalformedMessageError ? error.message : 'not JSON');
    }
    try {
      const submission = this.validate(json);
      if ('refusal' in submission) return (await this.replyIfKnown(id)) ?? submission.refusal;
      const { spec, upstream } = submission;
      if (this.memoryIsShort())
        return (await this.replyIfKnown(id)) ?? unavailable('no memory for further jobs');
      return upstream.length === 0
        ? await this.accept(spec, [], [])
        : await this.acceptDependent(spec, upstream);
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  /** What can be said of a submission by itself. */
  private validate(json: unknown): Submission | { refusal: Reply } {
    try {
      const spec = parseSubmission(json);
      const upstream = parseDependencies(json);
      if (!this.ctx.machineTypes)
        return { refusal: unavailable('machine types are not known yet') };
      const never = unrunnableReason(spec, this.ctx.quotas, this.ctx.machineTypes);
      if (never) return { refusal: refusal(422, never) };
      return { spec, upstream };
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      return { refusal: refusal(400, error.message) };
    }
  }

  /** A known job is known whatever a repetition of it looks like. */
  private async replyIfKnown(id: string): Promise<Reply | null> {
    const known = await this.findStatus(id);
    return known && { status: 200, body: jobStateBody(id, known.state) };
  }

  /** Accepts a job that names others, as far as these were accepted. */
  private async acceptDependent(spec: JobSpec, named: string[]): Promise<Reply> {
    const known = await this.replyIfKnown(spec.id);
    if (known) return known;
    if (named.includes(spec.id)) return refusal(422, 'the job names itself');
    const upstream = await this.dependencies.summarize(named, RequestPriority.users);
    if (upstream.missing.length > 0)
      return refusal(
        422,
        `never accepted: ${upstream.missing.slice(0, MAX_NAMED_JOBS).join(', ')}`,
      );
    if (!upstream.cancelled) return this.accept(spec, upstream.pending, named);
    const created = await this.store.createCancelled(spec, RequestPriority.users);
    if (!created.ok) return (await this.replyIfKnown(spec.id)) ?? unavailable('try again');
    return { status: 201, body: jobStateBody(spec.id, 'cancelled') };
  }

  private async accept(spec: JobSpec, pending: string[], named: string[]): Promise<Reply> {
    const record: LiveJobRecord = { spec, acceptedAt: this.ctx.clock.wall() };
    try {
      const created = await this.store.create(record, pending, named, RequestPriority.users);
      if (!created.ok) return (await this.replyIfKnown(spec.id)) ?? unavailable('try again');
    } catch (error) {
      if (error instanceof DependencyListContendedError)
        return unavailable('another node has the same job');
      if (!(error instanceof JobTooLargeError)) throw error;
      return (await this.replyIfKnown(spec.id)) ?? refusal(422, error.message);
    }
    this.ctx.log.debug({ job: spec.id, team: spec.team }, 'accepted');
    return { status: 201, body: jobStateBody(spec.id, 'queued') };
  }

  async query(id: string): Promise<Reply> {
    if (!JOB_ID_PATTERN.test(id)) return refusal(404, 'no such job');
    try {
      const job = await this.lookups.find(id);
      if (!job) return refusal(404, 'no such job');
      const known = await this.statusOf(id, job, RequestPriority.questions);
      const counts = known.live ? this.taskCounts(id) : null;
      const done = known.state === 'done' ? known.tasks : (counts?.done ?? 0);
      return {
        status: 200,
        body: jobStatusBody(id, known.state, done, counts?.running ?? 0),
      };
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  async cancel(id: string): Promise<Reply> {
    if (!JOB_ID_PATTERN.test(id)) return refusal(404, 'no such job');
    try {
      // Twice at the most: a live job that has moved meanwhile has its end.
      for (let tries = 0; tries < 2; tries++) {
        const known = await this.findStatus(id);
        if (!known) return refusal(404, 'no such job');
        if (!known.live) {
          if (known.state === 'cancelled') await this.announce(id, known.version);
          return { status: 200, body: jobStateBody(id, known.state) };
        }
        const moved = await this.store.cancel(known.live, RequestPriority.users);
        if (moved.ok) {
          this.ctx.log.info({ job: id }, 'cancelled');
          await this.announce(id, moved.revision);
          return { status: 200, body: jobStateBody(id, 'cancelled') };
        }
      }
      return unavailable('try again');
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  private replyToFailure(error: unknown): Reply {
    this.ctx.log.debug({ error: String((error as Error).message) }, 'user request not served');
    return unavailable('the state service is out of reach');
  }
}
