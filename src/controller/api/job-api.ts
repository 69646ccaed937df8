/**
 * Submission, query and cancellation of jobs on any node, leader or follower.
 * Whether a job was accepted and how it ended are always read from the state
 * service, never from this node's memory, so an accepted job is visible at every
 * node at once.
 */
import type { Reply } from '../../http/server.js';
import type { JobSpec } from '../../model/job.js';
import { unrunnableReason } from '../../model/job-feasibility.js';
import {
  JOB_ID_PATTERN,
  jobStateBody,
  jobStatusBody,
  parseDependencies,
  parseJobId,
  parseSubmission,
} from '../../protocol/job-protocol.js';
import { MalformedMessageError } from '../../protocol/json-fields.js';
import type { LiveJobRecord } from '../../records/job-record.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencyListContendedError } from './dependency-lists.js';
import { DependencyStatus } from './dependency-status.js';
import { JobTooLargeError, type SubmittedDependencies } from './job-creation.js';
import { JobLookups } from './job-lookups.js';
import { JobStatusReader, type TaskCountSource } from './job-status.js';
import { JobStore } from './job-store.js';
import { refuse, refuseMalformed, refuseUnknownDependencies } from './refusals.js';

/** A live job may end between the read and the cancellation; the second attempt reads its end. */
const MAX_CANCEL_ATTEMPTS = 2;

const NO_DEPENDENCIES: SubmittedDependencies = { pending: [], all: [] };

/** Announces cancellations to the leader. */
export interface CancellationAnnouncer {
  /**
   * Makes the current leader stop the job before the cancellation is confirmed to
   * the user. Resolves within a bounded time even when no leader is reachable.
   */
  announceCancellation(jobId: string, revision: number): Promise<void>;
}

/** Dependencies of JobApi. */
export interface JobApiOptions {
  taskCounts: TaskCountSource;
  cancellations: CancellationAnnouncer;
  /** Reports whether this node or the leader has no memory for further jobs; default: false. */
  isMemoryLow?: () => boolean;
}

/** A well-formed submission whose job could run. */
interface Submission {
  spec: JobSpec;
  /** Ids of the job's dependencies as submitted. */
  dependencies: string[];
}

interface RefusedSubmission {
  refusal: Reply;
}

/** The job API of one controller. Its methods never reject; they reply 503 to a request that fails. */
export class JobApi {
  private readonly store: JobStore;
  private readonly dependencies: DependencyStatus;
  private readonly statusReader: JobStatusReader;
  private readonly lookups: JobLookups;

  constructor(
    private readonly ctx: ControllerContext,
    private readonly options: JobApiOptions,
  ) {
    this.store = new JobStore(ctx);
    this.dependencies = new DependencyStatus(ctx, this.store);
    this.statusReader = new JobStatusReader(ctx, {
      store: this.store,
      dependencies: this.dependencies,
      taskCounts: options.taskCounts,
    });
    this.lookups = new JobLookups(this.store, RequestPriority.queries);
  }

  /**
   * Accepts a job and replies 201 with its state. Idempotent: replies 200 with the
   * job's state when its id was accepted before, even when the rest of the
   * repeated submission would be refused.
   */
  async submit(body: Buffer): Promise<Reply> {
    let json: unknown;
    let id: string;
    try {
      json = JSON.parse(body.toString());
      id = parseJobId(json);
    } catch (error) {
      return error instanceof MalformedMessageError ? refuseMalformed(error) : refuse('notJson');
    }
    try {
      const submission = this.validate(json);
      if ('refusal' in submission) return (await this.replyIfAccepted(id)) ?? submission.refusal;
      const { spec, dependencies } = submission;
      return dependencies.length === 0
        ? await this.accept(spec, NO_DEPENDENCIES)
        : await this.acceptWithDependencies(spec, dependencies);
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  /** Replies 200 with the job's state and task counts, or 404 when it was never accepted. */
  async query(id: string): Promise<Reply> {
    if (!JOB_ID_PATTERN.test(id)) return refuse('unknownJob');
    try {
      const job = await this.lookups.find(id);
      if (!job) return refuse('unknownJob');
      const status = await this.statusReader.statusOf(id, job, RequestPriority.queries);
      const counts = status.live ? this.options.taskCounts.taskCountsOf(id) : null;
      const done = status.state === 'done' ? status.tasks : (counts?.done ?? 0);
      return {
        status: 200,
        body: jobStatusBody(id, status.state, done, counts?.running ?? 0),
      };
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  /**
   * Cancels a job and replies 200 with its final state, which is 'done' when its
   * last task finished first. Idempotent: an end is never rewritten. A repeated
   * cancellation is announced again, since the first announcement may be lost.
   */
  async cancel(id: string): Promise<Reply> {
    if (!JOB_ID_PATTERN.test(id)) return refuse('unknownJob');
    try {
      for (let attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
        const status = await this.statusReader.find(id, RequestPriority.submissions);
        if (!status) return refuse('unknownJob');
        if (!status.live) {
          if (status.state === 'cancelled') await this.announceCancellation(id, status.version);
          return { status: 200, body: jobStateBody(id, status.state) };
        }
        const cancelled = await this.store.cancel(status.live, RequestPriority.submissions);
        if (cancelled.ok) {
          this.ctx.log.info({ job: id }, 'job cancelled');
          await this.announceCancellation(id, cancelled.revision);
          return { status: 200, body: jobStateBody(id, 'cancelled') };
        }
      }
      return refuse('changedMeanwhile');
    } catch (error) {
      return this.replyToFailure(error);
    }
  }

  /** Parses and checks a submission without requests to the state service. */
  private validate(json: unknown): Submission | RefusedSubmission {
    try {
      const spec = parseSubmission(json);
      const dependencies = parseDependencies(json);
      const { machineTypes, quotas } = this.ctx;
      if (!machineTypes) return { refusal: refuse('machineTypesUnknown') };
      const unrunnable = unrunnableReason(spec, quotas, machineTypes);
      if (unrunnable) return { refusal: refuse(unrunnable) };
      if (this.options.isMemoryLow?.()) return { refusal: refuse('memoryLow') };
      return { spec, dependencies };
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      return { refusal: refuseMalformed(error) };
    }
  }

  /** Returns a 200 with the job's state; null when its id was never accepted. */
  private async replyIfAccepted(id: string): Promise<Reply | null> {
    const status = await this.statusReader.find(id, RequestPriority.submissions);
    return status && { status: 200, body: jobStateBody(id, status.state) };
  }

  /**
   * Accepts a job with dependencies, each of which must have been accepted
   * before. When one of them is cancelled, the job is accepted as cancelled.
   */
  private async acceptWithDependencies(spec: JobSpec, dependencies: string[]): Promise<Reply> {
    const existing = await this.replyIfAccepted(spec.id);
    if (existing) return existing;
    if (dependencies.includes(spec.id)) return refuse('dependsOnItself');
    const summary = await this.dependencies.summarize(dependencies, RequestPriority.submissions);
    if (summary.missing.length > 0) return refuseUnknownDependencies(summary.missing);
    if (!summary.cancelled)
      return this.accept(spec, { pending: summary.pending, all: dependencies });
    const created = await this.store.createCancelled(spec, RequestPriority.submissions);
    if (!created.ok) return (await this.replyIfAccepted(spec.id)) ?? refuse('changedMeanwhile');
    return { status: 201, body: jobStateBody(spec.id, 'cancelled') };
  }

  /**
   * Writes the job. The transaction fails when another request has accepted the
   * id, or when the job's dependency list is being removed.
   */
  private async accept(spec: JobSpec, dependencies: SubmittedDependencies): Promise<Reply> {
    const record: LiveJobRecord = { spec, acceptedAt: this.ctx.clock.wall() };
    try {
      const created = await this.store.create(record, dependencies, RequestPriority.submissions);
      if (!created.ok) return (await this.replyIfAccepted(spec.id)) ?? refuse('changedMeanwhile');
    } catch (error) {
      if (error instanceof DependencyListContendedError) return refuse('sameJobAtAnotherNode');
      if (!(error instanceof JobTooLargeError)) throw error;
      return (await this.replyIfAccepted(spec.id)) ?? refuse('jobTooLarge');
    }
    this.ctx.log.debug({ job: spec.id, team: spec.team }, 'job accepted');
    return { status: 201, body: jobStateBody(spec.id, 'queued') };
  }

  private announceCancellation(id: string, revision: number): Promise<void> {
    return this.options.cancellations.announceCancellation(id, revision);
  }

  /** The outcome of a failed request is unknown, so the reply asks the user to retry it. */
  private replyToFailure(error: unknown): Reply {
    this.ctx.log.debug({ err: error }, 'job API request failed; replying 503');
    return refuse('stateServiceUnreachable');
  }
}
