/** Renews the lease of a leader term, which proves its leadership. */
import { AbortedError } from '../../runtime/clock.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from './leader-term.js';

/** Renews the term's lease at every renewal interval; resolves when the term has ended. */
export async function renewUntilTermEnds(ctx: ControllerContext, term: LeaderTerm): Promise<void> {
  const { clock, timing } = ctx;
  try {
    while (!term.signal.aborted) {
      await clock.sleep(timing.renewalIntervalMs, term.signal);
      // Renewals overlap: one slow response must not end the proof, and two must not end the lease.
      void renew(ctx, term);
    }
  } catch (error) {
    if (!(error instanceof AbortedError)) throw error;
  }
}

/**
 * Renews the lease once. Extends the proof of leadership as of the send time, or
 * resigns from a term that can no longer be used. Never rejects.
 */
async function renew({ clock, state, log }: ControllerContext, term: LeaderTerm): Promise<void> {
  const sentAt = clock.now();
  try {
    if (await state.renewLease(term.lease, term.signal)) term.setProvenAt(sentAt);
    else term.resign('lease ended');
    if (term.areCancellationsUnknownForTooLong()) term.resign('cancellations unknown for too long');
  } catch (err) {
    if (term.signal.aborted) return;
    log.debug(
      { err },
      'lease renewal failed; retrying at the next renewal interval while the term lasts',
    );
    if (term.isUnprovenForTooLong()) term.resign('leadership unproven for too long');
  }
}
